//! Reads frames (length, checksum and payload) from a byte stream.

use std::io;

use ladderstage_wire::frame::{FrameError, FrameHeader, HEADER_BYTES};
use ladderstage_wire::messages::Frame;
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::Traffic;

/// Error of reading a frame.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadError {
    /// The stream ended between two frames.
    #[error("connection closed")]
    Closed,
    /// The stream ended inside a frame.
    #[error("connection closed inside a frame")]
    Truncated,
    /// The stream failed.
    #[error(transparent)]
    Stream(#[from] io::Error),
    /// The bytes are not a valid frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// Reads one frame. Not cancel safe: if the future is dropped, the bytes read so far are lost.
pub(crate) async fn read_frame<R>(reader: &mut R, traffic: &Traffic) -> Result<Frame, ReadError>
where
    R: AsyncRead + Unpin,
{
    let header = read_header(reader).await?;
    let payload = read_payload(reader, header.length).await?;
    let frame = header.decode_payload(&payload)?;
    traffic.received(HEADER_BYTES + payload.len());
    Ok(frame)
}

async fn read_header<R>(reader: &mut R) -> Result<FrameHeader, ReadError>
where
    R: AsyncRead + Unpin,
{
    let mut bytes = [0; HEADER_BYTES];
    let mut filled = 0;
    while filled < HEADER_BYTES {
        let count = reader.read(&mut bytes[filled..]).await?;
        if count == 0 && filled == 0 {
            return Err(ReadError::Closed);
        }
        if count == 0 {
            return Err(ReadError::Truncated);
        }
        filled += count;
    }
    Ok(FrameHeader::parse(bytes)?)
}

/// Reads a payload. The buffer grows with the received bytes, as the length in the header is not
/// trusted.
async fn read_payload<R>(reader: &mut R, length: usize) -> Result<Vec<u8>, ReadError>
where
    R: AsyncRead + Unpin,
{
    let mut payload = Vec::new();
    let mut limited = reader.take(length as u64);
    limited.read_to_end(&mut payload).await?;
    if payload.len() < length {
        return Err(ReadError::Truncated);
    }
    Ok(payload)
}
