//! Reads TOML documents and reports all findings of a file in one run, each with its position.
//!
//! [`read`] walks a document through [`Table`]s, which record wrong types and values, missing keys
//! and unknown keys, and return every value that could be read. Cross-checks then add [`Finding`]s
//! through [`KeyPositions`].

mod finding;
mod key_positions;
mod nearest;
mod table;
mod value;

pub use finding::Finding;
pub use key_positions::KeyPositions;
pub use table::Table;
pub use value::FromToml;

use toml::de::DeTable;

use table::Report;

/// Result of reading a document. `value` is best effort if there are findings.
#[derive(Debug, Clone)]
pub struct ParsedDocument<T> {
    /// Value built by the reader.
    pub value: T,
    /// Findings so far, sorted by position.
    pub findings: Vec<Finding>,
    /// Position of each key.
    pub key_positions: KeyPositions,
    /// Whether the text is valid TOML; if not, cross-checks would only report follow-up errors.
    pub well_formed: bool,
}

/// Reads `text`; `file` is its name in findings.
pub fn read<T>(
    file: &str,
    text: &str,
    reader: impl FnOnce(&mut Table<'_>) -> T,
) -> ParsedDocument<T> {
    let (root, errors) = DeTable::parse_recoverable(text);
    let report = Report::new(KeyPositions::new(file, text), !errors.is_empty());
    for error in &errors {
        report.add_syntax_error(error);
    }
    let mut table = Table::new(&report, root.get_ref(), String::new());
    let value = reader(&mut table);
    table.finish();
    let (mut findings, key_positions) = report.into_parts();
    finding::sort(&mut findings);
    ParsedDocument {
        value,
        findings,
        key_positions,
        well_formed: errors.is_empty(),
    }
}
