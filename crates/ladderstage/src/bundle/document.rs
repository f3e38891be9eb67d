//! Parses the text of a bundle.

use toml::de::DeValue;

use super::check::{self, CheckContext};
use super::model::{Bundle, ClassSpec, Objective, PoolKind, PoolSpec};
use crate::document::{self, Finding, FromToml, ParsedDocument, Table};
use crate::ids::Revision;

/// Maximum length of a bundle's text in bytes.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;

/// File name in findings if the text did not come from a file.
const DEFAULT_FILE_NAME: &str = "bundle";

/// Parses and checks a bundle's text without external data.
///
/// # Errors
/// All findings, sorted by position.
pub fn parse(text: &str) -> Result<Bundle, Vec<Finding>> {
    parse_file(DEFAULT_FILE_NAME, text)
}

/// Like [`parse`], with `file` as the file name in findings.
pub fn parse_file(file: &str, text: &str) -> Result<Bundle, Vec<Finding>> {
    let document = BundleDocument::read(file, text);
    let findings = document.check(&CheckContext::default());
    if findings.is_empty() {
        return Ok(document.parsed.value);
    }
    Err(findings)
}

/// The parsed text of a bundle, possibly with findings.
#[derive(Debug, Clone)]
pub struct BundleDocument {
    parsed: ParsedDocument<Bundle>,
}

impl BundleDocument {
    /// Parses a text. Never fails; errors become findings.
    pub fn read(file: &str, text: &str) -> Self {
        if text.len() > MAX_TEXT_BYTES {
            return Self::too_long(file, text.len());
        }
        let parsed = document::read(file, text, read_bundle);
        Self { parsed }
    }

    fn too_long(file: &str, length: usize) -> Self {
        let mut parsed = document::read(file, "", read_bundle);
        let found = format!("{length} bytes");
        let allowed = format!("up to {MAX_TEXT_BYTES} bytes");
        parsed.findings = parsed
            .key_positions
            .finding("", found, allowed)
            .into_iter()
            .collect();
        parsed.well_formed = false;
        Self { parsed }
    }

    /// Returns all findings of parsing and of the cross-checks, sorted by position.
    pub fn check(&self, context: &CheckContext<'_>) -> Vec<Finding> {
        let mut findings = self.parsed.findings.clone();
        if self.parsed.well_formed {
            findings.extend(check::cross_check(
                &self.parsed.value,
                &self.parsed.key_positions,
                context,
            ));
        }
        findings.sort_by_key(|finding| (finding.line, finding.column));
        findings
    }

    /// Returns the parsed bundle; values with findings have defaults.
    pub fn bundle(&self) -> &Bundle {
        &self.parsed.value
    }

    /// Returns the revision in the text; `None` if it is missing or invalid.
    pub fn revision(&self) -> Option<Revision> {
        let revision = self.parsed.value.revision;
        (revision > 0).then_some(revision)
    }

    /// Returns the bundle without cross-checks.
    ///
    /// Daemons use this for bundles that were accepted elsewhere: they must not refuse them because
    /// their own cross-checks have different external data.
    ///
    /// # Errors
    /// The findings of parsing, if there are any.
    pub fn into_bundle(self) -> Result<Bundle, Vec<Finding>> {
        if self.parsed.findings.is_empty() {
            return Ok(self.parsed.value);
        }
        Err(self.parsed.findings)
    }
}

fn read_bundle(table: &mut Table<'_>) -> Bundle {
    Bundle {
        revision: table.required("revision").unwrap_or_default(),
        objective: table.optional("objective").unwrap_or_default(),
        pools: table.tables("pool", read_pool),
        classes: table.tables("class", read_class),
        notes: table.map("notes"),
    }
}

fn read_pool(table: &mut Table<'_>) -> PoolSpec {
    PoolSpec {
        name: table.required("name").unwrap_or_default(),
        kind: table.required("kind").unwrap_or(PoolKind::Application),
        backends: table.list("backends"),
        weight_version: table.optional("weight_version").unwrap_or_default(),
        staleness_bound: table.optional("staleness_bound").unwrap_or_default(),
        staleness_bound_seconds: table.optional("staleness_bound_seconds"),
        concurrency: table.required("concurrency").unwrap_or_default(),
    }
}

fn read_class(table: &mut Table<'_>) -> ClassSpec {
    ClassSpec {
        name: table.required("name").unwrap_or_default(),
        priority: table.required("priority").unwrap_or_default(),
        limit: table.required("limit").unwrap_or_default(),
        deadline_ms: table.required("deadline_ms").unwrap_or_default(),
        retry_budget_percent: table.optional("retry_budget_percent").unwrap_or_default(),
    }
}

impl FromToml for Objective {
    const ALLOWED: &'static str = "\"staleness\" or \"trainer-idle\"";

    fn from_toml(value: &DeValue<'_>) -> Option<Self> {
        match value.as_str()? {
            "staleness" => Some(Self::Staleness),
            "trainer-idle" => Some(Self::TrainerIdle),
            _ => None,
        }
    }
}

impl FromToml for PoolKind {
    const ALLOWED: &'static str = "\"model\" or \"application\"";

    fn from_toml(value: &DeValue<'_>) -> Option<Self> {
        match value.as_str()? {
            "model" => Some(Self::Model),
            "application" => Some(Self::Application),
            _ => None,
        }
    }
}
