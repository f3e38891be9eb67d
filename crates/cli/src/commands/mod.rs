//! Commands, one module for each.

mod bundle;
mod explain;
mod keygen;
mod nodes;
mod trainer;

use crate::arguments::Invocation;
use crate::error::CliError;
use crate::help;
use crate::output::print_line;

/// Runs the selected command.
pub async fn run(invocation: &mut Invocation) -> Result<(), CliError> {
    if invocation.version {
        print_line(&format!("ladderstage {}", env!("CARGO_PKG_VERSION")));
        return Ok(());
    }
    let command = invocation.subcommand()?;
    match command.as_deref() {
        None if invocation.help => show(help::TOP),
        None => Err(CliError::Usage("a command is missing".to_owned())),
        Some("keygen") if invocation.help => show(help::KEYGEN),
        Some("keygen") => keygen::run(invocation),
        Some("bundle") => run_bundle(invocation).await,
        Some("status") if invocation.help => show(help::STATUS),
        Some("status") => nodes::status(invocation).await,
        Some("members") if invocation.help => show(help::MEMBERS),
        Some("members") => nodes::members(invocation).await,
        Some("trainer") => run_trainer(invocation).await,
        Some("explain") if invocation.help => show(help::EXPLAIN),
        Some("explain") => explain::run(invocation).await,
        Some(other) => Err(unknown_command(other)),
    }
}

async fn run_bundle(invocation: &mut Invocation) -> Result<(), CliError> {
    let command = invocation.subcommand()?;
    if invocation.help {
        return match command.as_deref() {
            None => show(help::BUNDLE),
            Some("check") => show(help::BUNDLE_CHECK),
            Some("diff") => show(help::BUNDLE_DIFF),
            Some("sign") => show(help::BUNDLE_SIGN),
            Some("verify") => show(help::BUNDLE_VERIFY),
            Some("roll") => show(help::BUNDLE_ROLL),
            Some("status") => show(help::BUNDLE_STATUS),
            Some(other) => Err(unknown_command(other)),
        };
    }
    match command.as_deref() {
        None => Err(CliError::Usage(
            "a command after `bundle` is missing".to_owned(),
        )),
        Some("check") => bundle::check(invocation).await,
        Some("diff") => bundle::diff(invocation).await,
        Some("sign") => bundle::sign(invocation),
        Some("verify") => bundle::verify(invocation),
        Some("roll") => bundle::roll(invocation).await,
        Some("status") => bundle::status(invocation).await,
        Some(other) => Err(unknown_command(other)),
    }
}

async fn run_trainer(invocation: &mut Invocation) -> Result<(), CliError> {
    let command = invocation.subcommand()?;
    match command.as_deref() {
        None if invocation.help => show(help::TRAINER),
        Some("status") if invocation.help => show(help::TRAINER_STATUS),
        None => Err(CliError::Usage(
            "a command after `trainer` is missing".to_owned(),
        )),
        Some("status") => trainer::status(invocation).await,
        Some(other) => Err(unknown_command(other)),
    }
}

fn show(text: &str) -> Result<(), CliError> {
    print_line(text);
    Ok(())
}

fn unknown_command(name: &str) -> CliError {
    CliError::Usage(format!("unknown command `{name}`"))
}
