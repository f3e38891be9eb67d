//! Parses the command line.

use std::ffi::OsString;
use std::path::PathBuf;

use pico_args::Arguments;

use crate::client::Client;
use crate::error::CliError;

/// URL used if there is no `--daemon`.
const DEFAULT_DAEMON: &str = "http://127.0.0.1:8080";

/// Parsed command line.
pub struct Invocation {
    /// Whether to print results as JSON.
    pub json: bool,
    /// Whether to print help.
    pub help: bool,
    /// Whether to print the version.
    pub version: bool,
    arguments: Arguments,
}

impl Invocation {
    /// Parses the options that all commands share.
    pub fn new(arguments: Vec<OsString>) -> Self {
        let mut arguments = Arguments::from_vec(arguments);
        Self {
            json: arguments.contains("--json"),
            help: arguments.contains(["-h", "--help"]),
            version: arguments.contains(["-V", "--version"]),
            arguments,
        }
    }

    /// Removes and returns the next word of the command, such as `bundle` or `roll`.
    pub fn subcommand(&mut self) -> Result<Option<String>, CliError> {
        Ok(self.arguments.subcommand()?)
    }

    /// Removes and returns the value of an optional option.
    pub fn option(&mut self, name: &'static str) -> Result<Option<String>, CliError> {
        Ok(self.arguments.opt_value_from_str(name)?)
    }

    /// Removes and returns the value of a required option.
    pub fn required(&mut self, name: &'static str) -> Result<String, CliError> {
        Ok(self.arguments.value_from_str(name)?)
    }

    /// Removes and returns all values of an option.
    pub fn all(&mut self, name: &'static str) -> Result<Vec<String>, CliError> {
        Ok(self.arguments.values_from_str(name)?)
    }

    /// Removes and returns an option's number of seconds.
    pub fn seconds(&mut self, name: &'static str, default: u64) -> Result<u64, CliError> {
        Ok(self.arguments.opt_value_from_str(name)?.unwrap_or(default))
    }

    /// Removes and returns the path of an optional option.
    pub fn path_option(&mut self, name: &'static str) -> Result<Option<PathBuf>, CliError> {
        Ok(self.option(name)?.map(PathBuf::from))
    }

    /// Removes and returns the next positional argument. Must be called after all options were read.
    pub fn positional(&mut self, what: &str) -> Result<String, CliError> {
        let positional: Option<String> = self.arguments.opt_free_from_str()?;
        match positional {
            Some(positional) if positional.starts_with('-') => {
                Err(CliError::Usage(format!("unknown option `{positional}`")))
            }
            Some(positional) => Ok(positional),
            None => Err(CliError::Usage(format!("{what} is missing"))),
        }
    }

    /// Returns a client of the daemons in `--daemon`, or of the default one.
    pub fn client(&mut self) -> Result<Client, CliError> {
        let client = self.optional_client()?;
        Ok(client.unwrap_or_else(|| Client::new(vec![DEFAULT_DAEMON.to_owned()])))
    }

    /// Returns a client of the daemons in `--daemon`, if there are any.
    pub fn optional_client(&mut self) -> Result<Option<Client>, CliError> {
        let urls = self.all("--daemon")?;
        if let Some(url) = urls.iter().find(|url| !url.starts_with("http://")) {
            return Err(CliError::Usage(format!(
                "`{url}` is not a URL of a daemon; expected a URL such as {DEFAULT_DAEMON}"
            )));
        }
        Ok((!urls.is_empty()).then(|| Client::new(urls)))
    }

    /// Rejects remaining arguments.
    pub fn finish(&mut self) -> Result<(), CliError> {
        let remaining = std::mem::replace(&mut self.arguments, Arguments::from_vec(Vec::new()));
        match remaining.finish().first() {
            None => Ok(()),
            Some(unused) => {
                let unused = unused.to_string_lossy();
                Err(CliError::Usage(format!("unknown argument `{unused}`")))
            }
        }
    }
}
