//! Findings about a file.

use std::fmt;

use serde::{Deserialize, Serialize};

/// An error in a file, with the allowed values.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// File as named by the user, or a placeholder.
    pub file: String,
    /// Line from 1; 0 if there is no position.
    pub line: u32,
    /// Column in characters from 1; 0 if there is no position.
    pub column: u32,
    /// Value or condition that was found.
    pub found: String,
    /// Allowed values.
    pub allowed: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:", self.file)?;
        if self.line > 0 {
            write!(formatter, "{}:{}:", self.line, self.column)?;
        }
        write!(
            formatter,
            " found {}; allowed: {}",
            self.found, self.allowed
        )
    }
}

/// Sorts findings by position.
pub(crate) fn sort(findings: &mut [Finding]) {
    findings.sort_by_key(|finding| (finding.line, finding.column));
}
