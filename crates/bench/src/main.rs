//! `ladderstage-bench`: stand-ins, fault proxy, demo and fault runs, for tests and experiments
//! only.

use std::process::ExitCode;

use ladderstage_bench::command_line;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    match command_line::run(pico_args::Arguments::from_env()).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
