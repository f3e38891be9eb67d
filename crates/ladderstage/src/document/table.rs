//! Reader for a table of a document.

use std::cell::RefCell;
use std::collections::BTreeMap;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::nearest::nearest;
use super::value::{describe, shorten};
use super::{Finding, FromToml, KeyPositions};

/// Findings and key positions collected while a document is read.
#[derive(Debug)]
pub(super) struct Report {
    key_positions: RefCell<KeyPositions>,
    findings: RefCell<Vec<Finding>>,
    /// Whether the text has syntax errors; these may hide keys, so missing keys are not reported.
    has_syntax_errors: bool,
}

impl Report {
    pub(super) fn new(key_positions: KeyPositions, has_syntax_errors: bool) -> Self {
        Self {
            key_positions: RefCell::new(key_positions),
            findings: RefCell::default(),
            has_syntax_errors,
        }
    }

    pub(super) fn into_parts(self) -> (Vec<Finding>, KeyPositions) {
        (self.findings.into_inner(), self.key_positions.into_inner())
    }

    pub(super) fn add_syntax_error(&self, error: &toml::de::Error) {
        let offset = error.span().map_or(0, |span| span.start);
        let found = format!("malformed TOML: {}", error.message());
        self.add_at_offset(offset, found, "TOML 1.0".to_owned());
    }

    /// Adds a finding at a byte offset. If the text has syntax errors, each line gets at most one
    /// finding, because further ones would be follow-up errors.
    fn add_at_offset(&self, offset: usize, found: String, allowed: String) {
        let finding = self
            .key_positions
            .borrow()
            .finding_at_offset(offset, found, allowed);
        let mut findings = self.findings.borrow_mut();
        let is_follow_up =
            self.has_syntax_errors && findings.iter().any(|other| other.line == finding.line);
        if !is_follow_up {
            findings.push(finding);
        }
    }

    fn add_at_path(&self, path: &str, found: String, allowed: String) {
        let finding = self.key_positions.borrow().finding(path, found, allowed);
        self.findings.borrow_mut().extend(finding);
        self.key_positions.borrow_mut().mark_faulty(path);
    }

    fn reject(&self, path: &str, value: &Spanned<DeValue<'_>>, allowed: &str) {
        let found = describe(value.get_ref());
        self.add_at_offset(value.span().start, found, allowed.to_owned());
        self.key_positions.borrow_mut().mark_faulty(path);
    }
}

/// A table being read. When reading ends, keys that were never read are reported as unknown.
#[derive(Debug)]
pub struct Table<'d> {
    report: &'d Report,
    entries: &'d DeTable<'d>,
    path: String,
    read_keys: Vec<&'static str>,
}

impl<'d> Table<'d> {
    pub(super) fn new(report: &'d Report, entries: &'d DeTable<'d>, path: String) -> Self {
        Self {
            report,
            entries,
            path,
            read_keys: Vec::new(),
        }
    }

    /// Returns the value of an optional key; a wrong value is reported and yields `None`.
    pub fn optional<T: FromToml>(&mut self, key: &'static str) -> Option<T> {
        let (path, value) = self.read_key(key)?;
        self.convert(&path, value)
    }

    /// Returns the value of a required key; a missing or wrong value is reported.
    pub fn required<T: FromToml>(&mut self, key: &'static str) -> Option<T> {
        if !self.has(key) {
            self.read_keys.push(key);
            self.report_missing(key, T::ALLOWED);
            return None;
        }
        self.optional(key)
    }

    /// Returns the elements of an array; wrong elements are reported and left out. Indexes in
    /// paths count only the returned elements.
    pub fn list<T: FromToml>(&mut self, key: &'static str) -> Vec<T> {
        let Some((path, value)) = self.read_key(key) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            let allowed = format!("an array, each element {}", T::ALLOWED);
            self.report.reject(&path, value, &allowed);
            return Vec::new();
        };
        let mut list = Vec::new();
        for element in array {
            let Some(converted) = T::from_toml(element.get_ref()) else {
                self.report.reject(&path, element, T::ALLOWED);
                continue;
            };
            self.record_position(&format!("{path}[{}]", list.len()), element.span().start);
            list.push(converted);
        }
        list
    }

    /// Returns a table with arbitrary keys.
    pub fn map<T: FromToml>(&mut self, key: &'static str) -> BTreeMap<String, T> {
        let Some((path, entries)) = self.read_table(key) else {
            return BTreeMap::new();
        };
        let mut map = BTreeMap::new();
        for (name, value) in entries {
            let path = format!("{path}.{}", name.get_ref());
            self.record_position(&path, value.span().start);
            if let Some(value) = self.convert(&path, value) {
                map.insert(name.get_ref().to_string(), value);
            }
        }
        map
    }

    /// Reads a table with known keys; `None` if it is missing or not a table.
    pub fn table<T>(
        &mut self,
        key: &'static str,
        reader: impl FnOnce(&mut Table<'_>) -> T,
    ) -> Option<T> {
        let (path, entries) = self.read_table(key)?;
        let mut table = Table::new(self.report, entries, path);
        let value = reader(&mut table);
        table.finish();
        Some(value)
    }

    /// Reads an array of tables with known keys; elements that are not tables are reported and left
    /// out. Indexes in paths count only the returned elements.
    pub fn tables<T>(
        &mut self,
        key: &'static str,
        mut reader: impl FnMut(&mut Table<'_>) -> T,
    ) -> Vec<T> {
        let Some((path, value)) = self.read_key(key) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            let allowed = format!("an array of tables, each starting with [[{key}]]");
            self.report.reject(&path, value, &allowed);
            return Vec::new();
        };
        let mut items = Vec::new();
        for element in array {
            let Some(entries) = element.get_ref().as_table() else {
                self.report.reject(&path, element, "a table");
                continue;
            };
            let path = format!("{path}[{}]", items.len());
            self.record_position(&path, element.span().start);
            let mut table = Table::new(self.report, entries, path);
            items.push(reader(&mut table));
            table.finish();
        }
        items
    }

    /// Adds a finding at a key of this table.
    pub fn reject(&mut self, key: &str, found: String, allowed: String) {
        let path = self.path_of(key);
        self.report.add_at_path(&path, found, allowed);
    }

    pub(super) fn finish(self) {
        for name in self.entries.keys() {
            let key = name.get_ref().as_ref();
            if self.read_keys.contains(&key) {
                continue;
            }
            let found = format!("unknown key `{}`", shorten(key));
            let allowed = match nearest(key, &self.read_keys) {
                Some(suggestion) => format!("`{suggestion}`?"),
                None => format!("one of {}", self.read_keys.join(", ")),
            };
            self.report.add_at_offset(name.span().start, found, allowed);
        }
    }

    fn has(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    fn read_key(&mut self, key: &'static str) -> Option<(String, &'d Spanned<DeValue<'d>>)> {
        self.read_keys.push(key);
        let value = self.entries.get(key)?;
        let path = self.path_of(key);
        self.record_position(&path, value.span().start);
        Some((path, value))
    }

    fn read_table(&mut self, key: &'static str) -> Option<(String, &'d DeTable<'d>)> {
        let (path, value) = self.read_key(key)?;
        let entries = value.get_ref().as_table();
        if entries.is_none() {
            self.report.reject(&path, value, "a table");
        }
        entries.map(|entries| (path, entries))
    }

    fn convert<T: FromToml>(&self, path: &str, value: &Spanned<DeValue<'_>>) -> Option<T> {
        let converted = T::from_toml(value.get_ref());
        if converted.is_none() {
            self.report.reject(path, value, T::ALLOWED);
        }
        converted
    }

    fn report_missing(&self, key: &str, allowed: &str) {
        let path = self.path_of(key);
        if !self.report.has_syntax_errors {
            let found = format!("no key `{key}`");
            self.report
                .add_at_path(&path, found, format!("`{key}` with {allowed}"));
        }
        self.report.key_positions.borrow_mut().mark_faulty(&path);
    }

    fn record_position(&self, path: &str, offset: usize) {
        self.report
            .key_positions
            .borrow_mut()
            .record_position(path, offset);
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }
}
