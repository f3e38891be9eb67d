//! `ladderstage`: command line for operators and trainers.

mod arguments;
mod client;
mod commands;
mod error;
mod files;
mod help;
mod output;

use std::process::ExitCode;

use arguments::Invocation;
use error::CliError;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    env_logger::init();
    let arguments = std::env::args_os().skip(1).collect();
    let mut invocation = Invocation::new(arguments);
    let json = invocation.json;
    match commands::run(&mut invocation).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report(&error, json),
    }
}

fn report(error: &CliError, json: bool) -> ExitCode {
    if json {
        output::print_json(&error.to_json());
    }
    eprintln!("{error}");
    ExitCode::from(error.exit_code())
}
