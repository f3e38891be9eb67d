//! Source text of a document with the positions of its keys, for findings.

use std::collections::{BTreeMap, BTreeSet};

use super::Finding;

/// Line and column in a file, both counted from 1; columns are characters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Position {
    line: u32,
    column: u32,
}

/// Source text of a document and the position of each key, by path such as
/// `pool[0].backends[2]`. Builds findings at these positions.
#[derive(Debug, Clone)]
pub struct KeyPositions {
    file: String,
    text: String,
    line_starts: Vec<usize>,
    positions: BTreeMap<String, Position>,
    faulty: BTreeSet<String>,
}

impl KeyPositions {
    pub(super) fn new(file: &str, text: &str) -> Self {
        Self {
            file: file.to_owned(),
            text: text.to_owned(),
            line_starts: line_starts(text),
            positions: BTreeMap::new(),
            faulty: BTreeSet::new(),
        }
    }

    /// Returns a finding at `path`, or at the closest enclosing key of the document. `None` if
    /// there is already a finding at this path, so that one mistake yields one finding.
    pub fn finding(&self, path: &str, found: String, allowed: String) -> Option<Finding> {
        if self.is_faulty(path) {
            return None;
        }
        let position = self.position(path);
        Some(Finding {
            file: self.file.clone(),
            line: position.line,
            column: position.column,
            found,
            allowed,
        })
    }

    /// Returns whether reading the document yielded a finding at this path.
    pub fn is_faulty(&self, path: &str) -> bool {
        self.faulty.contains(path)
    }

    pub(super) fn record_position(&mut self, path: &str, offset: usize) {
        let position = self.locate(offset);
        self.positions.insert(path.to_owned(), position);
    }

    pub(super) fn mark_faulty(&mut self, path: &str) {
        self.faulty.insert(path.to_owned());
    }

    pub(super) fn finding_at_offset(
        &self,
        offset: usize,
        found: String,
        allowed: String,
    ) -> Finding {
        let position = self.locate(offset);
        Finding {
            file: self.file.clone(),
            line: position.line,
            column: position.column,
            found,
            allowed,
        }
    }

    fn position(&self, path: &str) -> Position {
        let mut path = path;
        loop {
            if let Some(position) = self.positions.get(path) {
                return *position;
            }
            let Some(end) = path.rfind(['.', '[']) else {
                return Position { line: 1, column: 1 };
            };
            path = &path[..end];
        }
    }

    fn locate(&self, offset: usize) -> Position {
        let mut offset = offset.min(self.text.len());
        while !self.text.is_char_boundary(offset) {
            offset -= 1;
        }
        // The first line starts at 0, so at least one start is at or before the offset.
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let line_start = self.line_starts[line - 1];
        let column = self.text[line_start..offset].chars().count() + 1;
        Position {
            line: u32::try_from(line).unwrap_or(u32::MAX),
            column: u32::try_from(column).unwrap_or(u32::MAX),
        }
    }
}

fn line_starts(text: &str) -> Vec<usize> {
    let after_newlines = text.match_indices('\n').map(|(index, _)| index + 1);
    std::iter::once(0).chain(after_newlines).collect()
}
