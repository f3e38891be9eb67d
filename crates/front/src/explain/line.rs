//! Parser of log lines.

use std::collections::BTreeMap;

/// Fields whose values are ids for which a timeline can be built.
const ID_FIELDS: [&str; 3] = ["request", "item", "job"];

/// One event of the log: `time=… level=… node=… module=… event=… key=value …`. A quoted
/// value may contain spaces; a list such as `["a", "b"]` is cut at its first space.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Seconds since the epoch on the clock of the process that wrote the line.
    pub time: f64,
    /// `info`, `warn` or `error`.
    pub level: String,
    /// Node that wrote the line.
    pub node: String,
    /// Event name.
    pub event: String,
    /// All other fields by name.
    pub fields: BTreeMap<String, String>,
    /// The rest of the line after the event name, as written.
    pub text: String,
}

impl LogLine {
    /// Parses a line and ignores everything before its `time` field. Returns `None` if the line is
    /// not an event.
    pub fn parse(line: &str) -> Option<Self> {
        let start = line.find("time=")?;
        let mut fields = split_fields(&line[start..]);
        let time = fields.remove("time")?.parse().ok()?;
        let event = fields.remove("event")?;
        fields.remove("module");
        let text = line.split_once("event=")?.1;
        let text = text.split_once(' ').map_or("", |(_, rest)| rest);
        Some(Self {
            time,
            level: fields.remove("level")?,
            node: fields.remove("node").unwrap_or_default(),
            event,
            fields,
            text: text.trim_end().to_owned(),
        })
    }

    /// Returns whether the line is about the request, item or job `id`.
    pub fn is_about(&self, id: &str) -> bool {
        let mut fields = ID_FIELDS.iter();
        // With tenants, a job is logged as `tenant/id`.
        let matches =
            |value: &str| value == id || value.rsplit_once('/').is_some_and(|(_, own)| own == id);
        fields.any(|field| self.fields.get(*field).is_some_and(|value| matches(value)))
    }

    /// Returns whether the event is a failure: a warning, an error or an unsuccessful outcome. A
    /// run that `moved` to another instance counts, as it was interrupted.
    pub fn is_failure(&self) -> bool {
        let outcome = self.fields.get("outcome").map_or("", String::as_str);
        let is_failed_outcome =
            ["failed", "moved", "impossible", "none_to_be_had"].contains(&outcome);
        self.level != "info" || is_failed_outcome
    }
}

/// Splits `key=value` pairs at spaces outside quotes.
fn split_fields(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text;
    while let Some((key, after)) = rest.split_once('=') {
        let key = key.rsplit(' ').next().unwrap_or(key);
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        fields
            .entry(key.to_owned())
            .or_insert_with(|| value.trim_end().to_owned());
        rest = next;
    }
    fields
}
