//! Subcommands of `ladderstage-bench`.

mod chaos;
mod demo;
mod proxy;
mod stand_in;

use std::ffi::OsString;
use std::io;
use std::process::ExitCode;

use pico_args::Arguments;
pub use stand_in::{application_arguments, engine_arguments};

const HELP: &str = "\
Stand-ins, fault proxy and demo for ladderstage.

USAGE: ladderstage-bench <SUBCOMMAND> [--help]

SUBCOMMANDS:
  demo       runs the complete system in one process and exits
  chaos      runs daemons and load under random faults and checks the guarantees
  stand-in   runs one stand-in of the platform as a process
  proxy      runs a fault-injecting TCP proxy
";

#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// An argument is missing or malformed.
    #[error("{0}")]
    Arguments(#[from] pico_args::Error),
    /// The subcommand does not exist.
    #[error("unknown subcommand {0:?}; see --help")]
    UnknownSubcommand(String),
    /// Unknown arguments were given.
    #[error("unknown arguments {0:?}; see --help")]
    UnknownArguments(Vec<OsString>),
    /// A file could not be read, or an address could not be bound.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A file is not valid JSON for its purpose.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The demo could not run.
    #[error("{0}")]
    Demo(#[from] crate::demo::DemoError),
    /// The fault run gave no result.
    #[error("{0}")]
    Chaos(#[from] crate::chaos::ChaosError),
}

/// Runs the subcommand that the arguments name.
pub async fn run(mut arguments: Arguments) -> Result<ExitCode, CommandError> {
    match arguments.subcommand()?.as_deref() {
        None => print_help(HELP),
        Some("demo") => return demo::run(arguments).await,
        Some("chaos") => return chaos::run(arguments).await,
        Some("stand-in") => stand_in::run(arguments).await?,
        Some("proxy") => proxy::run(arguments).await?,
        Some(other) => return Err(CommandError::UnknownSubcommand(other.to_owned())),
    }
    Ok(ExitCode::SUCCESS)
}

fn print_help(text: &str) {
    print!("{text}");
}

/// Parses an option that has a default.
fn value<T>(
    arguments: &mut Arguments,
    name: &'static str,
    default: T,
) -> Result<T, pico_args::Error>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    Ok(arguments.opt_value_from_str(name)?.unwrap_or(default))
}

/// Parses a duration in milliseconds that has a default.
fn milliseconds(
    arguments: &mut Arguments,
    name: &'static str,
    default: std::time::Duration,
) -> Result<std::time::Duration, pico_args::Error> {
    let given: Option<u64> = arguments.opt_value_from_str(name)?;
    Ok(given.map_or(default, std::time::Duration::from_millis))
}

fn reject_remaining(arguments: Arguments) -> Result<(), CommandError> {
    let remaining = arguments.finish();
    if remaining.is_empty() {
        return Ok(());
    }
    Err(CommandError::UnknownArguments(remaining))
}
