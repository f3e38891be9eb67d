//! Compression of large texts, which are copied across zones by the journal and for readers.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Maximum size of decompressed content, in bytes. It limits the memory that damaged input can
/// claim.
const MAX_CONTENT_BYTES: u64 = 256 * 1024 * 1024;

/// Error of a decompression.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invalid compressed content: {0}")]
pub struct CompressionError(String);

/// Compresses `content` at the fastest level.
pub fn compress(content: &[u8]) -> Vec<u8> {
    let compressed = Vec::with_capacity(content.len() / 2);
    let mut encoder = DeflateEncoder::new(compressed, Compression::fast());
    // Writing to a Vec cannot fail.
    let _ = encoder.write_all(content);
    encoder.finish().unwrap_or_default()
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
    read.map_err(|error| CompressionError(error.to_string()))?;
    if content.len() as u64 > MAX_CONTENT_BYTES {
        return Err(CompressionError("content too large".to_owned()));
    }
    Ok(content)
}
