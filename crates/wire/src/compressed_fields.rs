//! Reads a compressed message field by field, so that large messages are never held in plain form.

use std::io::{self, BufReader, Read};

use flate2::read::DeflateDecoder;

use crate::compression::{CompressionError, MAX_CONTENT_BYTES};

/// Wire type of a field that is a number of variable length.
const VARINT_TYPE: u64 = 0;

/// Wire type of a field whose length precedes it.
const LENGTH_TYPE: u64 = 2;

/// Maximum number of bytes of a variable-length number.
const MAX_VARINT_BYTES: usize = 10;

/// Initial capacity for the content of a field, whose length is not trusted, in bytes.
const INITIAL_CAPACITY: usize = 64 * 1024;

/// Reader of the fields of a message within a compressed message.
pub struct CompressedFields<'a> {
    content: BufReader<io::Take<DeflateDecoder<&'a [u8]>>>,
    /// Bytes of the message that follow.
    left: u64,
}

/// A field of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// Number and wire type.
    pub tag: u32,
    /// Content: a variable-length number as encoded, or the bytes after the length.
    pub content: Vec<u8>,
}

impl<'a> CompressedFields<'a> {
    /// Opens the message that the field `tag` holds, if that is the first field of the compressed message.
    ///
    /// # Errors
    /// Fails if the content is damaged.
    pub fn open(compressed: &'a [u8], tag: u32) -> Result<Option<Self>, CompressionError> {
        let limited = DeflateDecoder::new(compressed).take(MAX_CONTENT_BYTES);
        let mut fields = Self {
            content: BufReader::new(limited),
            left: u64::MAX,
        };
        if fields.read_varint()?.1 != u64::from(tag) {
            return Ok(None);
        }
        fields.left = fields.read_varint()?.1;
        Ok(Some(fields))
    }

    /// Reads the next field; returns `None` at the end of the message.
    ///
    /// # Errors
    /// Fails if the content is damaged or has a field of another type.
    pub fn next_field(&mut self) -> Result<Option<Field>, CompressionError> {
        if self.left == 0 {
            return Ok(None);
        }
        let (_, tag) = self.read_varint()?;
        let content = match tag & 7 {
            VARINT_TYPE => self.read_varint()?.0,
            LENGTH_TYPE => {
                let (_, length) = self.read_varint()?;
                self.read_bytes(length)?
            }
            other => return Err(CompressionError::new(format!("wire type {other}"))),
        };
        let tag = u32::try_from(tag).map_err(CompressionError::new)?;
        Ok(Some(Field { tag, content }))
    }

    /// Reads a variable-length number, as encoded and decoded.
    fn read_varint(&mut self) -> Result<(Vec<u8>, u64), CompressionError> {
        let (mut encoded, mut value) = (Vec::new(), 0_u64);
        while encoded.len() < MAX_VARINT_BYTES {
            let byte = self.read_bytes(1)?[0];
            value |= u64::from(byte & 0x7f).wrapping_shl(7 * encoded.len() as u32);
            encoded.push(byte);
            if byte < 0x80 {
                return Ok((encoded, value));
            }
        }
        Err(CompressionError::new("number too long"))
    }

    fn read_bytes(&mut self, length: u64) -> Result<Vec<u8>, CompressionError> {
        let left = self.left.checked_sub(length);
        self.left = left.ok_or_else(|| CompressionError::new("field too long"))?;
        let mut bytes = Vec::with_capacity(INITIAL_CAPACITY.min(length as usize));
        let read = (&mut self.content).take(length).read_to_end(&mut bytes);
        let read = read.map_err(CompressionError::new)?;
        if read as u64 == length {
            Ok(bytes)
        } else {
            Err(CompressionError::new("content too short"))
        }
    }
}

impl Field {
    /// Returns the field as encoded.
    pub fn encode(&self) -> Vec<u8> {
        let mut encoded = encode_varint(u64::from(self.tag));
        if u64::from(self.tag) & 7 == LENGTH_TYPE {
            encoded.extend(encode_varint(self.content.len() as u64));
        }
        encoded.extend_from_slice(&self.content);
        encoded
    }
}

fn encode_varint(mut value: u64) -> Vec<u8> {
    let mut encoded = Vec::new();
    while value >= 0x80 {
        encoded.push(value as u8 | 0x80);
        value >>= 7;
    }
    encoded.push(value as u8);
    encoded
}
