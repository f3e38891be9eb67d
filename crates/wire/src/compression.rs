//! Compression of large texts, which are copied across zones by the journal and for readers.

use std::io::{BufWriter, Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use quick_protobuf::{BytesReader, MessageWrite, Writer};

/// Maximum size of decompressed content, in bytes. It limits the memory that damaged input can
/// claim.
pub(crate) const MAX_CONTENT_BYTES: u64 = 256 * 1024 * 1024;

/// Error of a decompression.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invalid compressed content: {0}")]
pub struct CompressionError(String);

impl CompressionError {
    pub(crate) fn new(cause: impl std::fmt::Display) -> Self {
        Self(cause.to_string())
    }
}

/// Compresses `content` at the fastest level.
pub fn compress(content: &[u8]) -> Vec<u8> {
    let compressed = Vec::with_capacity(content.len() / 2);
    let mut encoder = DeflateEncoder::new(compressed, Compression::fast());
    // Writing to a Vec cannot fail.
    let _ = encoder.write_all(content);
    encoder.finish().unwrap_or_default()
}

/// Maximum size of a field's tag and length, in bytes.
const MAX_FIELD_HEADER_BYTES: usize = 16;

/// Encodes a message with one field, `outer_tag`, which holds the compressed encoding of a message with
/// one field, `inner_tag`, which holds `message`. The plain encoding is never held as a whole. If
/// `sample`, a part of the content, cannot be compressed, the content is only stored in the format.
pub fn encode_compressed<M: MessageWrite>(
    outer_tag: u32,
    inner_tag: u32,
    message: &M,
    sample: &[u8],
) -> Vec<u8> {
    let level = level_for(sample);
    let space = vec![0; MAX_FIELD_HEADER_BYTES];
    let mut buffered = BufWriter::new(DeflateEncoder::new(space, level));
    let mut writer = Writer::new(&mut buffered);
    // Writing to a Vec cannot fail.
    let _ = writer.write_with_tag(inner_tag, |writer| writer.write_message(message));
    let encoder = buffered.into_inner().ok();
    let finished = encoder.and_then(|encoder| encoder.finish().ok());
    let mut bytes = finished.unwrap_or_default();
    let length = bytes.len().saturating_sub(MAX_FIELD_HEADER_BYTES);
    let mut header = Vec::with_capacity(MAX_FIELD_HEADER_BYTES);
    let mut writer = Writer::new(&mut header);
    let _ = writer.write_tag(outer_tag);
    let _ = writer.write_varint(length as u64);
    let start = MAX_FIELD_HEADER_BYTES - header.len();
    bytes[start..MAX_FIELD_HEADER_BYTES].copy_from_slice(&header);
    bytes.drain(..start);
    bytes
}

fn level_for(sample: &[u8]) -> Compression {
    let is_compressible = sample.is_empty() || compress(sample).len() < sample.len() / 10 * 9;
    if is_compressible {
        Compression::fast()
    } else {
        Compression::none()
    }
}

/// Returns the content of the field with `tag` if it is the first field of a message.
pub fn only_field(message: &[u8], tag: u32) -> Option<&[u8]> {
    let mut reader = BytesReader::from_bytes(message);
    let found = reader.next_tag(message).ok()?;
    if found != tag {
        return None;
    }
    reader.read_bytes(message).ok()
}

/// Decompresses the output of [`compress`].
///
/// # Errors
///
/// If the bytes are damaged or the content is too large.
pub fn decompress(compressed: &[u8]) -> Result<Vec<u8>, CompressionError> {
    let mut content = Vec::with_capacity(compressed.len() * 2);
    let mut limited = DeflateDecoder::new(compressed).take(MAX_CONTENT_BYTES + 1);
    let read = limited.read_to_end(&mut content);
    read.map_err(CompressionError::new)?;
    if content.len() as u64 > MAX_CONTENT_BYTES {
        return Err(CompressionError::new("content too large"));
    }
    Ok(content)
}
