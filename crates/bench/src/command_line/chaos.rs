//! `ladderstage-bench chaos`: runs random faults under load and checks the guarantees.

use std::process::ExitCode;
use std::time::Duration;

use pico_args::Arguments;

use super::{CommandError, print_help, reject_remaining, value};
use crate::chaos::{self, ChaosConfig, MIN_SECONDS};

const HELP: &str = "\
Runs four daemons and the stand-ins as processes under load, with faults that follow from the seed, and checks what
callers and trainers received against the back ends' logs. Faults end 5 s before the end of the load. The daemons' program
must have been built (`cargo build --workspace --bins`). Exits 1 on a violation and then keeps the logs.

USAGE: ladderstage-bench chaos [OPTIONS]

OPTIONS:
  --seed N      seed of the faults and the load (default: random)
  --seconds N   length of the load, at least 8 (default 30)
  --json        prints one JSON object instead of the summary; the seed goes to standard error
";
const DEFAULT_SECONDS: u64 = 30;

/// Runs the faults and prints the report.
pub(super) async fn run(mut arguments: Arguments) -> Result<ExitCode, CommandError> {
    if arguments.contains("--help") {
        print_help(HELP);
        return Ok(ExitCode::SUCCESS);
    }
    let as_json = arguments.contains("--json");
    let seed = value(&mut arguments, "--seed", u64::from(rand::random::<u32>()))?;
    let seconds = value(&mut arguments, "--seconds", DEFAULT_SECONDS)?;
    reject_remaining(arguments)?;
    let config = ChaosConfig {
        seed,
        length: Duration::from_secs(seconds.max(MIN_SECONDS)),
    };
    if as_json {
        eprintln!("seed {seed}");
    } else {
        println!("seed           {seed}");
    }
    let report = chaos::run(&config).await?;
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
