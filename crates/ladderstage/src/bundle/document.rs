//! Reads a bundle's text.

use toml::de::DeValue;

use super::check::{self, CheckContext};
use super::model::{Bundle, ClassSpec, Objective, PoolKind, PoolSpec};
use crate::document::{self, Finding, FromToml, Reading, Table};
use crate::ids::Revision;

/// Longest text of a bundle in bytes.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;

/// Name of the file in findings when the text came from none.
const UNNAMED: &str = "bundle";

/// Reads and checks a bundle's text by itself. The error holds all findings, by place.
pub fn parse(text: &str) -> Result<Bundle, Vec<Finding>> {
    parse_file(UNNAMED, text)
}

/// Like [`parse`]; the findings name `file`.
pub fn parse_file(file: &str, text: &str) -> Result<Bundle, Vec<Finding>> {
    let document = BundleDocument::read(file, text);
    let findings = document.check(&CheckContext::default());
    if findings.is_empty() {
        return Ok(document.reading.value);
    }
    Err(findings)
}

/// A bundle's text as far as it could be read.
#[derive(Debug, Clone)]
pub struct BundleDocument {
    reading: Reading<Bundle>,
}

impl BundleDocument {
    /// Reads a text; never fails, as what is wrong becomes findings.
    pub fn read(file: &str, text: &str) -> Self {
        if text.len() > MAX_TEXT_BYTES {
            return Self::too_long(file, text.len());
        }
        let reading = document::read(file, text, read_bundle);
        Self { reading }
    }

    fn too_long(file: &str, length: usize) -> Self {
        let mut reading = document::read(file, "", read_bundle);
        let found = format!("{length} bytes");
        let allowed = format!("up to {MAX_TEXT_BYTES} bytes");
        reading.findings = reading
            .key_positions
            .finding("", found, allowed)
            .into_iter()
            .collect();
        reading.well_formed = false;
        Self { reading }
    }

    /// All findings: those of reading and those of the cross-checks, by place.
    pub fn check(&self, context: &CheckContext<'_>) -> Vec<Finding> {
        let mut findings = self.reading.findings.clone();
        if self.reading.well_formed {
            findings.extend(check::cross_check(
                &self.reading.value,
                &self.reading.key_positions,
                context,
            ));
        }
        findings.sort_by_key(|finding| (finding.line, finding.column));
        findings
    }

    /// What could be read; values with findings have defaults.
    pub fn bundle(&self) -> &Bundle {
        &self.reading.value
    }

    /// The revision that the text names; `None` if it names none that is valid.
    pub fn revision(&self) -> Option<Revision> {
        let revision = self.reading.value.revision;
        (revision > 0).then_some(revision)
    }

    /// The bundle if the text could be read whole, cross-checks aside; else what was found.
    ///
    /// Daemons that are handed an accepted bundle use this: they must not refuse what was accepted elsewhere
    /// because their own cross-checks see it differently.
    pub fn into_bundle(self) -> Result<Bundle, Vec<Finding>> {
        if self.reading.findings.is_empty() {
            return Ok(self.reading.value);
        }
        Err(self.reading.findings)
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
