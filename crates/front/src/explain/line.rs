//! One line of the log.

use std::collections::BTreeMap;

/// Fields of a line whose values are ids that a story can be told of.
const ID_FIELDS: [&str; 3] = ["request", "item", "job"];

/// One event of the log: `time=… level=… node=… module=… event=… key=value …`. Values with blanks are quoted.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Seconds since the epoch by the clock of the process that wrote it.
    pub time: f64,
    /// `info`, `warn` or `error`.
    pub level: String,
    /// Node that wrote it.
    pub node: String,
    /// What happened.
    pub event: String,
    /// All other fields.
    pub fields: BTreeMap<String, String>,
    /// The fields as they were written.
    pub text: String,
}

impl LogLine {
    /// Reads a line; whatever stands before its time is passed over. `None` if it is no event.
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

    /// Whether the line is about the request, item or job `id`.
    pub fn is_about(&self, id: &str) -> bool {
        let mut fields = ID_FIELDS.iter();
        // Where there are tenants, a job goes by the tenant's name and its id.
        let names =
            |value: &str| value == id || value.rsplit_once('/').is_some_and(|(_, own)| own == id);
        fields.any(|field| self.fields.get(*field).is_some_and(|value| names(value)))
    }

    /// Whether it tells of something that went wrong.
    pub fn is_wrong(&self) -> bool {
        let outcome = self.fields.get("outcome").map_or("", String::as_str);
        let has_failed = ["failed", "moved", "impossible", "none_to_be_had"].contains(&outcome);
        self.level != "info" || has_failed
    }
}

/// Splits `key=value` pairs at blanks outside quotes.
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
