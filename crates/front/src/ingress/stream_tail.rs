//! Last bytes of an event stream, which show whether it ended within an event.

/// Length of the longest end of an event, in bytes.
const MAX_END_BYTES: usize = 4;

/// Last bytes of a stream; zeros stand for those before its first one.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StreamTail([u8; MAX_END_BYTES]);

impl StreamTail {
    /// Adds the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in &bytes[bytes.len().saturating_sub(MAX_END_BYTES)..] {
            self.0.rotate_left(1);
            self.0[MAX_END_BYTES - 1] = *byte;
        }
    }

    /// Returns whether the last bytes are the blank line that ends an event.
    pub fn ends_an_event(&self) -> bool {
        self.0.ends_with(b"\n\n") || self.0.ends_with(b"\r\n\r\n")
    }
}
