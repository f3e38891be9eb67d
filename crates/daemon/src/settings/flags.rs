//! Command-line flags that override settings.

use std::net::SocketAddr;
use std::path::PathBuf;

use pico_args::Arguments;

/// Error of an invalid flag.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct FlagError(#[from] pico_args::Error);

/// Flags that override single settings.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Flags {
    /// `--node`
    pub node: Option<String>,
    /// `--zone`
    pub zone: Option<String>,
    /// `--region`
    pub region: Option<String>,
    /// `--http-listen`
    pub http_listen: Option<SocketAddr>,
    /// `--peer-listen`
    pub peer_listen: Option<SocketAddr>,
    /// `--peer-advertise`
    pub peer_advertise: Option<SocketAddr>,
    /// `--data-folder`
    pub data_folder: Option<PathBuf>,
    /// `--key-value`, repeated for each base URL
    pub key_value: Vec<String>,
    /// `--machine-list`
    pub machine_list: Option<String>,
}

impl Flags {
    /// Help text for the flags.
    pub const HELP: &'static str = "\
    --node NAME              name of this daemon
    --zone NAME              zone of this daemon
    --region NAME            region of the zone
    --http-listen IP:PORT    listen address for callers, trainers and operators
    --peer-listen IP:PORT    listen address for other daemons
    --peer-advertise IP:PORT address that is announced to other daemons
    --data-folder PATH       folder of the journal; makes this daemon a replica
    --key-value URL          base URL of the key-value service; may be repeated
    --machine-list URL       base URL of the machine list
";

    /// Parses the flags and removes them from the arguments.
    ///
    /// # Errors
    /// [`FlagError`] if a flag has no value or an invalid one.
    pub fn from_arguments(arguments: &mut Arguments) -> Result<Self, FlagError> {
        Ok(Self {
            node: arguments.opt_value_from_str("--node")?,
            zone: arguments.opt_value_from_str("--zone")?,
            region: arguments.opt_value_from_str("--region")?,
            http_listen: arguments.opt_value_from_str("--http-listen")?,
            peer_listen: arguments.opt_value_from_str("--peer-listen")?,
            peer_advertise: arguments.opt_value_from_str("--peer-advertise")?,
            data_folder: arguments.opt_value_from_str("--data-folder")?,
            key_value: arguments.values_from_str("--key-value")?,
            machine_list: arguments.opt_value_from_str("--machine-list")?,
        })
    }
}
