//! `ladderstage trainer status`

use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::arguments::Invocation;
use crate::error::CliError;
use crate::output;

#[derive(Serialize)]
#[serde(transparent)]
struct StepReport(Value);

impl fmt::Display for StepReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(fields) = self.0.as_object() else {
            return write!(formatter, "{}", self.0);
        };
        for (name, value) in fields {
            writeln!(formatter, "{name}: {value}")?;
        }
        Ok(())
    }
}

/// Shows the progress of a trainer's step.
pub async fn status(invocation: &mut Invocation) -> Result<(), CliError> {
    let client = invocation.client()?;
    let trainer = invocation.positional("TRAINER")?;
    let step = invocation.positional("STEP")?;
    invocation.finish()?;
    let is_plain = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if !trainer.chars().all(is_plain) {
        return Err(CliError::Usage(format!(
            "`{trainer}` is not a valid trainer name"
        )));
    }
    let step: u64 = step
        .parse()
        .map_err(|_| CliError::Usage(format!("`{step}` is not a step; allowed: a whole number")))?;
    let path = format!("/v1/trainers/{trainer}/steps/{step}");
    let status: Value = client.get(&path).await?;
    output::print(invocation.json, &StepReport(status));
    Ok(())
}
