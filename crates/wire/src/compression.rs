//! Compression of what is large: texts cross zones several times, as copies in the journal and as answers to readers.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Largest content that is unpacked: more than any frame carries would be a sign of damage.
const LARGEST_CONTENT: u64 = 256 * 1024 * 1024;

/// Bytes that cannot be unpacked.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not compressed content: {0}")]
pub struct CompressionError(String);

/// Packs `content` at the least effort: most of what texts save is in the coding of single bytes.
pub fn compress(content: &[u8]) -> Vec<u8> {
    let packed = Vec::with_capacity(content.len() / 2);
    let mut encoder = DeflateEncoder::new(packed, Compression::fast());
    // Writing into a Vec fails for no input.
    let _ = encoder.write_all(content);
    encoder.finish().unwrap_or_default()
}

/// Unpacks what [`compress`] packed.
///
/// # Errors
/// If the bytes are damaged, or hold more than any message may.
pub fn decompress(packed: &[u8]) -> Result<Vec<u8>, CompressionError> {
    let mut content = Vec::with_capacity(packed.len() * 2);
    let mut limited = DeflateDecoder::new(packed).take(LARGEST_CONTENT + 1);
    let read = limited.read_to_end(&mut content);
    read.map_err(|error| CompressionError(error.to_string()))?;
    if content.len() as u64 > LARGEST_CONTENT {
        return Err(CompressionError("too large".to_owned()));
    }
    Ok(content)
}
