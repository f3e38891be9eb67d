//! `ladderstage-bench demo`: runs the complete system in one process.

use std::process::ExitCode;

use pico_args::Arguments;

use super::{CommandError, print_help, reject_remaining};
use crate::demo;

const HELP: &str = "\
Runs the complete system in one process and exits within 30 s: three daemons, stand-ins for the platform,
live callers, a trainer, and a bundle rolled from weight version 1 to 2 under load. Needs no other service.
Exits 1 if anything was lost, duplicated or mislabelled.

USAGE: ladderstage-bench demo [--json]

OPTIONS:
  --json   prints one JSON object instead of the summary
";

/// Runs the demo and prints its report.
pub(super) async fn run(mut arguments: Arguments) -> Result<ExitCode, CommandError> {
    if arguments.contains("--help") {
        print_help(HELP);
        return Ok(ExitCode::SUCCESS);
    }
    let as_json = arguments.contains("--json");
    reject_remaining(arguments)?;
    let report = demo::run().await?;
    if as_json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{report}");
    }
    if report.has_passed() {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::FAILURE)
}
