//! Messages between ladderstage processes and the frames that carry them.
//!
//! The messages are generated from `proto/ladderstage.proto` and committed; `CONTRIBUTING.md` names the
//! command that makes them anew. [`frame`] wraps each message with its length and a checksum, so that
//! damaged bytes are refused before they are decoded.

pub mod compression;
pub mod frame;

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
mod generated;

/// The generated messages.
pub mod messages {
    pub use crate::generated::ladderstage::*;
}

use quick_protobuf::{BytesReader, MessageRead, MessageWrite, Writer};

/// Bytes that are not the message they should be.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("malformed {message}: {detail}")]
pub struct DecodeError {
    /// Rust name of the message that was expected.
    pub message: &'static str,
    /// What the decoder met.
    pub detail: String,
}

/// Encodes one message.
pub fn encode<M: MessageWrite>(message: &M) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(message.get_size());
    let mut writer = Writer::new(&mut bytes);
    // Writing into a Vec fails for no input.
    let _ = message.write_message(&mut writer);
    bytes
}

/// Decodes one message that fills `bytes`.
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
