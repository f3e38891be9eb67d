//! Messages between ladderstage processes, and the frames that carry them.
//!
//! The messages are generated from `proto/ladderstage.proto` and committed; `CONTRIBUTING.md` gives
//! the command that regenerates them. [`frame`] adds a length and a checksum, so that damaged bytes
//! are detected before decoding.

pub mod compressed_fields;
pub mod compression;
pub mod frame;
pub mod kind;

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
mod generated;

/// Generated message types.
pub mod messages {
    pub use crate::generated::ladderstage::*;
}

pub use quick_protobuf::MessageWrite;
use quick_protobuf::{BytesReader, MessageRead, Writer};

/// Error of decoding a message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("malformed {message}: {detail}")]
pub struct DecodeError {
    /// Rust type name of the expected message.
    pub message: &'static str,
    /// Error of the decoder.
    pub detail: String,
}

/// Encodes one message.
pub fn encode<M: MessageWrite>(message: &M) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(message.get_size());
    encode_to(message, &mut bytes);
    bytes
}

/// Appends the encoding of one message to `bytes`.
fn encode_to<M: MessageWrite>(message: &M, bytes: &mut Vec<u8>) {
    let mut writer = Writer::new(bytes);
    // Writing to a Vec cannot fail.
    let _ = message.write_message(&mut writer);
}

/// Decodes one message that occupies all of `bytes`.
///
/// # Errors
///
/// If the bytes are not an encoding of `M`.
pub fn decode<M>(bytes: &[u8]) -> Result<M, DecodeError>
where
    M: for<'a> MessageRead<'a>,
{
    let mut reader = BytesReader::from_bytes(bytes);
    M::from_reader(&mut reader, bytes).map_err(|error| DecodeError {
        message: std::any::type_name::<M>(),
        detail: error.to_string(),
    })
}
