//! Parser for the server-sent events that instances send.

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Id of the event; ids in a text are consecutive.
    pub id: u64,
    /// Data of the event; multiple lines are joined by line feeds.
    pub data: String,
    /// Weight version that generated the event, if the event names one.
    pub version: Option<u64>,
}

/// Splits a stream's bytes into events and buffers an incomplete event.
#[derive(Debug, Clone, Default)]
pub struct EventParser {
    /// Lower-case name of the field that carries the weight version.
    version_field: String,
    buffer: Vec<u8>,
    /// Number of buffered bytes that contain no end of an event.
    searched: usize,
}

/// Error for bytes that form no valid event.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invalid event: {0}")]
pub struct EventError(String);

/// Maximum size of an incomplete event that is buffered, in bytes. Each run may buffer one.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Length of the longest end of an event, in bytes.
const MAX_END_BYTES: usize = 4;

impl EventParser {
    /// Creates a parser for streams that carry weight versions in `version_field`.
    pub fn new(version_field: &str) -> Self {
        Self {
            version_field: version_field.to_ascii_lowercase(),
            buffer: Vec::new(),
            searched: 0,
        }
    }

    /// Adds bytes and returns the events that they complete.
    ///
    /// # Errors
    /// Fails if an event is malformed or exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, EventError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        let mut search_from = self.searched;
        while let Some((at, length)) = find_blank_line(&self.buffer[search_from..]) {
            let end = search_from + at;
            let block = &self.buffer[start..end];
            if !block.is_empty() {
                events.push(self.parse(block)?);
            }
            start = end + length;
            search_from = start;
        }
        self.buffer.drain(..start);
        // The end of the event may have arrived in part.
        self.searched = self.buffer.len().saturating_sub(MAX_END_BYTES - 1);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventError("event exceeds the size limit".to_owned()));
        }
        Ok(events)
    }

    /// Returns whether no incomplete event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    fn parse(&self, block: &[u8]) -> Result<Event, EventError> {
        let text = std::str::from_utf8(block).map_err(|error| EventError(error.to_string()))?;
        let mut id = None;
        let mut version = None;
        let mut data: Option<String> = None;
        for line in text.lines() {
            let Some((field, value)) = line.split_once(':') else {
                return Err(EventError(format!("line without a field name: {line:.40}")));
            };
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "id" => id = value.trim().parse().ok(),
                "data" => match &mut data {
                    Some(data) => {
                        data.push('\n');
                        data.push_str(value);
                    }
                    None => data = Some(value.to_owned()),
                },
                _ if field == self.version_field => version = value.trim().parse().ok(),
                _ => {}
            }
        }
        let id = id.ok_or_else(|| EventError("event without an id".to_owned()))?;
        let data = data.ok_or_else(|| EventError("event without data".to_owned()))?;
        Ok(Event { id, data, version })
    }
}

/// Finds the next blank line. Returns the position and the length of the line breaks that form it.
fn find_blank_line(bytes: &[u8]) -> Option<(usize, usize)> {
    let lf = bytes.windows(2).position(|pair| pair == b"\n\n");
    let crlf = bytes.windows(4).position(|quad| quad == b"\r\n\r\n");
    match (lf, crlf) {
        (Some(short), Some(long)) if long < short => Some((long, 4)),
        (Some(short), _) => Some((short, 2)),
        (None, Some(long)) => Some((long, 4)),
        (None, None) => None,
    }
}
