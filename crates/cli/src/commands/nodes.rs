//! `ladderstage status` and `ladderstage members`

use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::arguments::Invocation;
use crate::client::{Member, MembersAnswer};
use crate::error::CliError;
use crate::output;

/// Status of a daemon as arbitrary JSON.
#[derive(Serialize)]
#[serde(transparent)]
struct StatusReport(Value);

impl fmt::Display for StatusReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_value(formatter, &self.0, 0)
    }
}

/// Writes nested values as indented `key: value` lines.
fn write_value(formatter: &mut fmt::Formatter<'_>, value: &Value, depth: usize) -> fmt::Result {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                write_entry(formatter, name, field, depth)?;
            }
            Ok(())
        }
        Value::Array(items) => {
            for item in items {
                write_entry(formatter, "-", item, depth)?;
            }
            Ok(())
        }
        other => writeln!(
            formatter,
            "{:width$}{}",
            "",
            format_scalar(other),
            width = depth * 2
        ),
    }
}

fn write_entry(
    formatter: &mut fmt::Formatter<'_>,
    name: &str,
    value: &Value,
    depth: usize,
) -> fmt::Result {
    let width = depth * 2;
    let separator = if name == "-" { "" } else { ":" };
    match value {
        Value::Object(fields) if fields.values().all(is_scalar) => {
            let fields = fields
                .iter()
                .map(|(name, field)| format!("{name}={}", format_scalar(field)));
            let line = fields.collect::<Vec<_>>().join(" ");
            writeln!(formatter, "{:width$}{name}{separator} {line}", "")
        }
        Value::Object(_) | Value::Array(_) => {
            writeln!(formatter, "{:width$}{name}{separator}", "")?;
            write_value(formatter, value, depth + 1)
        }
        other => writeln!(
            formatter,
            "{:width$}{name}{separator} {}",
            "",
            format_scalar(other)
        ),
    }
}

fn is_scalar(value: &Value) -> bool {
    !value.is_object() && !value.is_array()
}

fn format_scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Shows the status of a daemon.
pub async fn status(invocation: &mut Invocation) -> Result<(), CliError> {
    let client = invocation.client()?;
    invocation.finish()?;
    let status: Value = client.get("/v1/status").await?;
    output::print(invocation.json, &StatusReport(status));
    Ok(())
}

#[derive(Serialize)]
struct MembersReport {
    members: Vec<Member>,
}

impl fmt::Display for MembersReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<24} {:<8} {:<14} {:<14} {:<8} HTTP",
            "NODE", "STATE", "ZONE", "REGION", "REPLICA"
        )?;
        for member in &self.members {
            writeln!(
                formatter,
                "{:<24} {:<8} {:<14} {:<14} {:<8} {}",
                member.node,
                member.state,
                member.zone,
                member.region,
                if member.replica { "yes" } else { "no" },
                member.http_address
            )?;
        }
        Ok(())
    }
}

/// Lists the members that a daemon knows.
pub async fn members(invocation: &mut Invocation) -> Result<(), CliError> {
    let client = invocation.client()?;
    invocation.finish()?;
    let answer: MembersAnswer = client.get("/v1/members").await?;
    let report = MembersReport {
        members: answer.members,
    };
    output::print(invocation.json, &report);
    Ok(())
}
