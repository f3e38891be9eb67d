//! Errors of the program and their exit codes.

use ladderstage::bundle::Finding;
use serde::Serialize;

/// Error of a command.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The command line is invalid.
    #[error("{0}\nTry `--help`.")]
    Usage(String),
    /// A file cannot be used.
    #[error("{0}")]
    Input(String),
    /// A file is invalid; holds all problems found.
    #[error("{}", lines(.0))]
    Findings(Vec<Finding>),
    /// A daemon refused the request, or the command failed.
    #[error("{0}")]
    Failed(String),
    /// A daemon refused a bundle; holds all problems found.
    #[error("refused:\n{}", lines(.0))]
    RefusedFindings(Vec<Finding>),
    /// The command may or may not have taken effect.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

fn lines(findings: &[Finding]) -> String {
    let lines = findings.iter().map(ToString::to_string);
    lines.collect::<Vec<_>>().join("\n")
}

/// JSON form of a [`CliError`].
#[derive(Debug, Serialize)]
pub struct ErrorReport {
    error: &'static str,
    detail: String,
    findings: Vec<Finding>,
}

impl CliError {
    /// Returns the exit code: 1 refused or failed, 2 invalid usage or input, 3 outcome unknown.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Failed(_) | Self::RefusedFindings(_) => 1,
            Self::Usage(_) | Self::Input(_) | Self::Findings(_) => 2,
            Self::Unknown(_) => 3,
        }
    }

    /// Returns the error in its JSON form.
    pub fn to_json(&self) -> ErrorReport {
        let (error, findings) = match self {
            Self::Usage(_) => ("usage", Vec::new()),
            Self::Input(_) => ("input", Vec::new()),
            Self::Findings(findings) => ("input", findings.clone()),
            Self::Failed(_) => ("failed", Vec::new()),
            Self::RefusedFindings(findings) => ("refused", findings.clone()),
            Self::Unknown(_) => ("unknown", Vec::new()),
        };
        ErrorReport {
            error,
            detail: self.to_string(),
            findings,
        }
    }
}

impl From<pico_args::Error> for CliError {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(error.to_string())
    }
}
