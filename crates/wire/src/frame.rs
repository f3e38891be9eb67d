//! Encoding of frames: payload length (`u32`, big-endian), CRC-32 of the payload (`u32`,
//! big-endian), payload.

use crate::messages::Frame;
use crate::{DecodeError, MessageWrite, decode, encode_to};

/// Size of the header in bytes.
pub const HEADER_BYTES: usize = 8;

/// Maximum size of a payload in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 16 * 1024 * 1024;

/// Error of encoding or decoding a frame.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The payload is longer than [`MAX_PAYLOAD_BYTES`].
    #[error("frame of {length} bytes exceeds the limit of {MAX_PAYLOAD_BYTES}")]
    TooLong {
        /// Length of the payload in bytes.
        length: usize,
    },
    /// The payload does not match its checksum.
    #[error("frame checksum is {found:08x}, expected {expected:08x}")]
    Checksum {
        /// Checksum in the header.
        expected: u32,
        /// Checksum of the received payload.
        found: u32,
    },
    /// The payload matches its checksum but cannot be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

/// Header of an encoded frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameHeader {
    /// Payload length in bytes.
    pub length: usize,
    /// CRC-32 of the payload.
    pub checksum: u32,
}

impl FrameHeader {
    /// Parses a header.
    ///
    /// # Errors
    ///
    /// `TooLong` if the length exceeds the limit.
    pub fn parse(bytes: [u8; HEADER_BYTES]) -> Result<Self, FrameError> {
        let [a, b, c, d, e, f, g, h] = bytes;
        let length = u32::from_be_bytes([a, b, c, d]) as usize;
        let checksum = u32::from_be_bytes([e, f, g, h]);
        if length > MAX_PAYLOAD_BYTES {
            return Err(FrameError::TooLong { length });
        }
        Ok(Self { length, checksum })
    }

    /// Verifies the payload's checksum and decodes it.
    ///
    /// # Errors
    ///
    /// `Checksum` or `Decode`.
    pub fn decode_payload(&self, payload: &[u8]) -> Result<Frame, FrameError> {
        let found = crc32fast::hash(payload);
        if found != self.checksum {
            return Err(FrameError::Checksum {
                expected: self.checksum,
                found,
            });
        }
        Ok(decode(payload)?)
    }
}

/// Encodes a frame with its header.
///
/// # Errors
///
/// `TooLong` if the payload exceeds the limit.
pub fn encode_frame(frame: &Frame) -> Result<Vec<u8>, FrameError> {
    let length = frame.get_size();
    if length > MAX_PAYLOAD_BYTES {
        return Err(FrameError::TooLong { length });
    }
    let mut encoded = Vec::with_capacity(HEADER_BYTES + length);
    encoded.extend_from_slice(&[0; HEADER_BYTES]);
    encode_to(frame, &mut encoded);
    let payload = &encoded[HEADER_BYTES..];
    let (length, checksum) = (payload.len() as u32, crc32fast::hash(payload));
    encoded[..4].copy_from_slice(&length.to_be_bytes());
    encoded[4..HEADER_BYTES].copy_from_slice(&checksum.to_be_bytes());
    Ok(encoded)
}
