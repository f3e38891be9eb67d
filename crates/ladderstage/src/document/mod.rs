//! TOML documents read with every finding of a file in one run, each with its place.
//!
//! [`read`] walks a document through [`Table`]s, which note wrong types and values, missing keys and unknown
//! keys as they go and hand out what could be read. Cross-checks then add [`Finding`]s through [`KeyPositions`].

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

/// What was read from a document. `value` is best effort as long as there are findings.
#[derive(Debug, Clone)]
pub struct Reading<T> {
    /// What the reader made of the document.
    pub value: T,
    /// Everything wrong so far, by place.
    pub findings: Vec<Finding>,
    /// Where each key stands.
    pub key_positions: KeyPositions,
    /// Whether the text is TOML at all; without it, cross-checks would report echoes.
    pub well_formed: bool,
}

/// Reads `text`, which came from `file` (a name for the findings only).
pub fn read<T>(file: &str, text: &str, reader: impl FnOnce(&mut Table<'_>) -> T) -> Reading<T> {
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
    Reading {
        value,
        findings,
        key_positions,
        well_formed: errors.is_empty(),
    }
}
