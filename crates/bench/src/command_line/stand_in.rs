//! `ladderstage-bench stand-in`: runs one stand-in.

use std::io::Write;

use pico_args::Arguments;

use super::{CommandError, milliseconds, print_help, reject_remaining, value};
use crate::http_server::Handle;
use crate::stand_in::application::{self, ApplicationConfig};
use crate::stand_in::engine::{self, EngineConfig};
use crate::stand_in::key_value::{self, KeyValueConfig};
use crate::stand_in::machine_list::{self, MachineListConfig};
use crate::stand_in::scorer::{self, ScorerConfig};
use crate::stand_in::weight_store::{self, WeightStoreConfig};

const HELP: &str = "\
Runs one stand-in until it is ended; prints `listening=ip:port` when it is ready.

USAGE: ladderstage-bench stand-in <KIND> [--listen IP:PORT] [OPTIONS]

KINDS AND OPTIONS:
  engine        --name --model --version --capacity --waiting-limit --prefill-ms --token-ms
                --growth-percent --swap-ms --report-lag-ms --weight-store URL
  application   --name --capacity --delay-ms
  key-value     --requests-per-second
  machine-list  --machines FILE.json
  weight-store  --loads-per-second --load-ms --newest-version
  scorer        --delay-ms

Paths under /control/ set faults and read logs while it runs.
";

/// Runs the stand-in that the arguments name until the process is ended.
pub(super) async fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let kind = arguments.subcommand()?;
    let Some(kind) = kind.filter(|_| !arguments.contains("--help")) else {
        print_help(HELP);
        return Ok(());
    };
    let handle = start(&kind, arguments).await?;
    println!("listening={}", handle.address);
    std::io::stdout().flush()?;
    std::future::pending().await
}

async fn start(kind: &str, mut arguments: Arguments) -> Result<Handle, CommandError> {
    let listen = value(&mut arguments, "--listen", crate::stand_in::loopback())?;
    match kind {
        "engine" => {
            let config = engine_config(&mut arguments)?;
            reject_remaining(arguments)?;
            Ok(engine::start(EngineConfig { listen, ..config }).await?)
        }
        "application" => {
            let config = application_config(&mut arguments)?;
            reject_remaining(arguments)?;
            Ok(application::start(ApplicationConfig { listen, ..config }).await?)
        }
        "key-value" => {
            let requests_per_second = value(&mut arguments, "--requests-per-second", 0.0)?;
            reject_remaining(arguments)?;
            let config = KeyValueConfig {
                listen,
                requests_per_second,
            };
            Ok(key_value::start(config).await?)
        }
        "machine-list" => {
            let config = machine_list_config(&mut arguments)?;
            reject_remaining(arguments)?;
            Ok(machine_list::start(MachineListConfig { listen, ..config }).await?)
        }
        "weight-store" => {
            let config = weight_store_config(&mut arguments)?;
            reject_remaining(arguments)?;
            Ok(weight_store::start(WeightStoreConfig { listen, ..config }).await?)
        }
        "scorer" => {
            let delay = milliseconds(&mut arguments, "--delay-ms", ScorerConfig::default().delay)?;
            reject_remaining(arguments)?;
            Ok(scorer::start(ScorerConfig { listen, delay }).await?)
        }
        other => Err(CommandError::UnknownSubcommand(other.to_owned())),
    }
}

/// Returns the arguments of `ladderstage-bench stand-in` that start an engine with this
/// configuration.
pub fn engine_arguments(config: &EngineConfig) -> Vec<String> {
    let mut arguments = vec!["engine".to_owned()];
    let mut add = |name: &str, value: String| arguments.extend([name.to_owned(), value]);
    add("--listen", config.listen.to_string());
    add("--name", config.name.clone());
    add("--model", config.model.clone());
    add("--version", config.weight_version.to_string());
    add("--capacity", config.capacity.to_string());
    add("--waiting-limit", config.waiting_limit.to_string());
    add("--prefill-ms", config.prefill.as_millis().to_string());
    add("--token-ms", config.token_interval.as_millis().to_string());
    add(
        "--growth-percent",
        config.interval_growth_percent.to_string(),
    );
    add("--swap-ms", config.swap.as_millis().to_string());
    add("--report-lag-ms", config.report_lag.as_millis().to_string());
    if let Some(store) = &config.weight_store {
        add("--weight-store", store.clone());
    }
    arguments
}

/// Returns the arguments of `ladderstage-bench stand-in` that start an application back end with
/// this configuration.
pub fn application_arguments(config: &ApplicationConfig) -> Vec<String> {
    let mut arguments = vec!["application".to_owned()];
    let mut add = |name: &str, value: String| arguments.extend([name.to_owned(), value]);
    add("--listen", config.listen.to_string());
    add("--name", config.name.clone());
    add("--capacity", config.capacity.to_string());
    add("--delay-ms", config.delay.as_millis().to_string());
    arguments
}

fn engine_config(arguments: &mut Arguments) -> Result<EngineConfig, CommandError> {
    let default = EngineConfig::default();
    Ok(EngineConfig {
        listen: default.listen,
        name: value(arguments, "--name", default.name)?,
        model: value(arguments, "--model", default.model)?,
        weight_version: value(arguments, "--version", default.weight_version)?,
        capacity: value(arguments, "--capacity", default.capacity)?,
        waiting_limit: value(arguments, "--waiting-limit", default.waiting_limit)?,
        prefill: milliseconds(arguments, "--prefill-ms", default.prefill)?,
        token_interval: milliseconds(arguments, "--token-ms", default.token_interval)?,
        interval_growth_percent: value(
            arguments,
            "--growth-percent",
            default.interval_growth_percent,
        )?,
        swap: milliseconds(arguments, "--swap-ms", default.swap)?,
        report_lag: milliseconds(arguments, "--report-lag-ms", default.report_lag)?,
        weight_store: arguments.opt_value_from_str("--weight-store")?,
    })
}

fn application_config(arguments: &mut Arguments) -> Result<ApplicationConfig, CommandError> {
    let default = ApplicationConfig::default();
    Ok(ApplicationConfig {
        listen: default.listen,
        name: value(arguments, "--name", default.name)?,
        capacity: value(arguments, "--capacity", default.capacity)?,
        delay: milliseconds(arguments, "--delay-ms", default.delay)?,
    })
}

fn machine_list_config(arguments: &mut Arguments) -> Result<MachineListConfig, CommandError> {
    let mut config = MachineListConfig::default();
    let path: Option<std::path::PathBuf> = arguments.opt_value_from_str("--machines")?;
    if let Some(path) = path {
        config.machines = serde_json::from_slice(&std::fs::read(path)?)?;
    }
    Ok(config)
}

fn weight_store_config(arguments: &mut Arguments) -> Result<WeightStoreConfig, CommandError> {
    let default = WeightStoreConfig::default();
    Ok(WeightStoreConfig {
        listen: default.listen,
        loads_per_second: value(arguments, "--loads-per-second", default.loads_per_second)?,
        load: milliseconds(arguments, "--load-ms", default.load)?,
        newest_version: value(arguments, "--newest-version", default.newest_version)?,
    })
}
