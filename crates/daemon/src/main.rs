//! `ladderstaged`: runs a node until it receives a stop signal.

use std::path::PathBuf;
use std::process::ExitCode;

use ladderstage_daemon::logging;
use ladderstage_daemon::node::Node;
use ladderstage_daemon::settings::{Flags, Settings};
use ladderstage_daemon::signals::StopSignals;
use pico_args::Arguments;

/// Exit code of a node that failed to start or to serve.
const EXIT_FAILED: u8 = 1;

/// Exit code for invalid flags or settings.
const EXIT_INVALID_INPUT: u8 = 2;

const HELP: &str = "\
ladderstaged: daemon of the ladderstage rollout service

Usage:
    ladderstaged --settings FILE [FLAGS]

Flags:
    --settings FILE          settings in TOML; flags override them
    --check                  check flags and settings, print all problems, and exit
    --version                print the version and exit
    --help                   print this text and exit
";

const EXAMPLES: &str = "
Examples:
    ladderstaged --settings /etc/ladderstage/bergen-a-1.toml --check
    ladderstaged --settings /etc/ladderstage/bergen-a-1.toml --http-listen 10.0.0.5:8080

Signals:
    SIGTERM and SIGINT drain the daemon: it refuses new work, finishes the requests in flight, and exits with 0.

Exit codes: 0 drained, 1 failed to start or serve, 2 invalid flags or settings.
The log level is set by LADDERSTAGE_LOG (default info).
";

/// Command selected by the command line.
enum Command {
    Help,
    Version,
    Check(Settings),
    Run(Settings),
}

fn main() -> ExitCode {
    match read_command_line() {
        Ok(Command::Help) => {
            print!("{HELP}    {}{EXAMPLES}", Flags::HELP.trim_start());
            ExitCode::SUCCESS
        }
        Ok(Command::Version) => {
            println!("ladderstaged {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Command::Check(settings)) => {
            println!("settings of {} are usable", settings.node);
            ExitCode::SUCCESS
        }
        Ok(Command::Run(settings)) => run(settings),
        Err(message) => {
            eprintln!("{message}");
            ExitCode::from(EXIT_INVALID_INPUT)
        }
    }
}

fn read_command_line() -> Result<Command, String> {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if arguments.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let check = arguments.contains("--check");
    let path: Option<PathBuf> = arguments
        .opt_value_from_str("--settings")
        .map_err(|error| error.to_string())?;
    let flags = Flags::from_arguments(&mut arguments).map_err(|error| error.to_string())?;
    let unknown = arguments.finish();
    if !unknown.is_empty() {
        return Err(format!("unknown arguments {unknown:?}; see --help"));
    }
    let settings = Settings::load(path.as_deref(), &flags).map_err(|error| error.to_string())?;
    if check {
        return Ok(Command::Check(settings));
    }
    Ok(Command::Run(settings))
}

fn run(settings: Settings) -> ExitCode {
    logging::install(&settings.node);
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("event=runtime_failed detail=\"{error}\"");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> ExitCode {
    let mut signals = match StopSignals::listen() {
        Ok(signals) => signals,
        Err(error) => {
            log::error!("event=signals_failed detail=\"{error}\"");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let node = match Node::start(settings).await {
        Ok(node) => node,
        Err(error) => {
            log::error!("event=start_failed detail=\"{error}\"");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    log::info!(
        "event=started http={} peer={}",
        node.http_address(),
        node.peer_address()
    );
    let signal = signals.next().await;
    log::info!("event=stop_requested signal={signal}");
    let stop = node.stop();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => return ExitCode::SUCCESS,
            // Further signals do not abort the drain.
            signal = signals.next() => log::info!("event=stop_in_progress signal={signal}"),
        }
    }
}
