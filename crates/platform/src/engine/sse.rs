//! Incremental parser for server-sent events.

use std::collections::VecDeque;

/// Maximum length in bytes of a line and of the data of an event.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Error of a malformed event stream.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SplitError {
    /// A line or the data of an event is longer than [`MAX_EVENT_BYTES`].
    #[error("event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// A line is not UTF-8.
    #[error("event is not UTF-8")]
    NotUtf8,
}

/// Server-sent event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Event {
    /// Type of the event; empty for a message.
    pub name: String,
    /// Data lines, joined by line feeds.
    pub data: String,
}

/// Parser that is fed bytes and returns complete events. A blank line completes an event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    line: Vec<u8>,
    /// Whether the last byte was a carriage return, so that a following line feed is part of the same line end.
    after_carriage_return: bool,
    current: Event,
    has_data: bool,
    complete: VecDeque<Event>,
}

impl EventSplitter {
    /// Creates a parser for a new stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Parses the next bytes of the stream.
    ///
    /// # Errors
    /// [`SplitError`] if the stream is malformed. No more bytes may be pushed then, but earlier events can be popped.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), SplitError> {
        let mut remaining = bytes;
        while let Some(&first) = remaining.first() {
            if std::mem::take(&mut self.after_carriage_return) && first == b'\n' {
                remaining = &remaining[1..];
                continue;
            }
            let Some(end) = remaining.iter().position(|&byte| is_line_end(byte)) else {
                return self.extend_line(remaining);
            };
            self.extend_line(&remaining[..end])?;
            self.after_carriage_return = remaining[end] == b'\r';
            self.end_line()?;
            remaining = &remaining[end + 1..];
        }
        Ok(())
    }

    /// Removes and returns the next complete event.
    pub fn pop(&mut self) -> Option<Event> {
        self.complete.pop_front()
    }

    fn extend_line(&mut self, bytes: &[u8]) -> Result<(), SplitError> {
        if self.line.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(SplitError::TooLong);
        }
        self.line.extend_from_slice(bytes);
        Ok(())
    }

    fn end_line(&mut self) -> Result<(), SplitError> {
        let bytes = std::mem::take(&mut self.line);
        let line = String::from_utf8(bytes).map_err(|_| SplitError::NotUtf8)?;
        if line.is_empty() {
            self.end_event();
            return Ok(());
        }
        let (field, value) = line.split_once(':').unwrap_or((&line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" => self.add_data(value),
            "event" => {
                self.current.name = value.to_owned();
                Ok(())
            }
            // Comments, ids and retry hints are ignored.
            _ => Ok(()),
        }
    }

    fn add_data(&mut self, value: &str) -> Result<(), SplitError> {
        if self.current.data.len() + value.len() >= MAX_EVENT_BYTES {
            return Err(SplitError::TooLong);
        }
        if self.has_data {
            self.current.data.push('\n');
        }
        self.current.data.push_str(value);
        self.has_data = true;
        Ok(())
    }

    /// Completes an event. Events without data are discarded, as the standard requires.
    fn end_event(&mut self) {
        let event = std::mem::take(&mut self.current);
        if std::mem::take(&mut self.has_data) {
            self.complete.push_back(event);
        }
    }
}

fn is_line_end(byte: u8) -> bool {
    byte == b'\n' || byte == b'\r'
}
