//! Reads frames (length, checksum and payload) from a byte stream.

use std::io;

use ladderstage_wire::frame::{FrameError, FrameHeader, HEADER_BYTES};
use ladderstage_wire::messages::Frame;
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::Traffic;
use crate::newcomers::Newcomer;

/// Bytes of a connection's first frame that are counted, and then read, at a time.
const FIRST_FRAME_STEP_BYTES: usize = 256 * 1024;

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

/// As [`read_frame`], for the first frame of a connection, of which `newcomer` counts the bytes.
pub(crate) async fn read_first_frame<R>(
    reader: &mut R,
    traffic: &Traffic,
    newcomer: &Newcomer,
) -> Result<Frame, ReadError>
where
    R: AsyncRead + Unpin,
{
    let header = read_header(reader).await?;
    let mut payload = Vec::new();
    while payload.len() < header.length {
        let step = (header.length - payload.len()).min(FIRST_FRAME_STEP_BYTES);
        newcomer.receive(step);
        payload.reserve_exact(step);
        let mut limited = (&mut *reader).take(step as u64);
        if limited.read_to_end(&mut payload).await? < step {
            return Err(ReadError::Truncated);
        }
        // Lets displaced connections give back their memory.
        tokio::task::yield_now().await;
    }
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
