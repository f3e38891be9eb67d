//! A daemon process of a cluster, with a proxy on each of its connections.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use super::settings::DaemonSettings;
use super::{ClusterError, UNREACHABLE};
use crate::processes::Process;
use crate::proxy::{Faults, Proxy, ProxyTarget};

const PROGRAM: &str = "ladderstaged";
const POLL: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A daemon of a cluster.
#[derive(Debug)]
pub struct Daemon {
    /// Contents of its settings file. Changes apply from the next start.
    pub settings: DaemonSettings,
    /// Process, if it is running.
    pub process: Option<Process>,
    /// Proxy between callers and the daemon.
    pub front: Proxy,
    /// Proxy between the daemon and the key-value service.
    pub key_value: Proxy,
    /// Proxy between the daemon and the machine list.
    pub machine_list: Proxy,
    /// Proxy between the daemon and the scorer.
    pub scorer: Proxy,
    /// Proxies by peer name, for the connections that this daemon opens.
    pub links: BTreeMap<String, Proxy>,
    /// Targets of the peers' proxies that lead to this daemon.
    pub(super) inbound: Vec<ProxyTarget>,
    folder: PathBuf,
}

impl Daemon {
    pub(super) fn new(
        settings: DaemonSettings,
        front: Proxy,
        platform: PlatformProxies,
        links: BTreeMap<String, Proxy>,
        folder: &Path,
    ) -> Self {
        Self {
            settings,
            process: None,
            front,
            key_value: platform.key_value,
            machine_list: platform.machine_list,
            scorer: platform.scorer,
            links,
            inbound: Vec::new(),
            folder: folder.to_owned(),
        }
    }

    pub fn name(&self) -> &str {
        &self.settings.node
    }

    /// Returns the base URL for callers, which is the same after a restart.
    pub fn url(&self) -> String {
        format!("http://{}", self.front.address)
    }

    /// Starts the process and points the proxies of callers and peers to its addresses.
    pub(super) async fn spawn(&mut self) -> Result<(), ClusterError> {
        let path = self.folder.join(format!("{}.toml", self.name()));
        std::fs::write(&path, self.settings.to_toml())?;
        let arguments = ["--settings".as_ref(), path.as_os_str()];
        let mut process = Process::start(PROGRAM, self.name(), arguments, &self.folder)?;
        let http = process.address("http").await?;
        let peer = process.address("peer").await?;
        self.front.retarget(http);
        self.inbound.iter().for_each(|link| link.set(peer));
        self.process = Some(process);
        Ok(())
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) {
        // The kernel may give the ports of a dead process to another one.
        self.front.retarget(UNREACHABLE);
        self.inbound.iter().for_each(|link| link.set(UNREACHABLE));
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
    }

    /// Sends SIGSTOP and waits until the process has stopped.
    pub fn pause(&mut self) {
        if let Some(process) = &mut self.process {
            process.pause();
        }
    }

    pub fn resume(&mut self) {
        if let Some(process) = &mut self.process {
            process.resume();
        }
    }

    pub fn terminate(&mut self) {
        if let Some(process) = &mut self.process {
            process.terminate();
        }
    }

    /// Returns the log of the current process.
    pub fn log(&self) -> String {
        let process = self.process.as_ref();
        process.map(Process::log).unwrap_or_default()
    }

    /// Returns the last lines of that log.
    pub fn log_tail(&self) -> String {
        let process = self.process.as_ref();
        process.map(Process::log_tail).unwrap_or_default()
    }

    /// Sets faults on the connections to the key-value service, the machine list and the scorer.
    pub fn set_platform_faults(&self, faults: Faults) {
        self.key_value.set(faults);
        self.machine_list.set(faults);
        self.scorer.set(faults);
    }

    /// Waits until `/healthz` answers.
    pub async fn wait_until_healthy(&self, timeout: Duration) -> Result<(), ClusterError> {
        self.wait_for_success("/healthz", timeout).await
    }

    /// Waits until `/readyz` answers 200: the daemon has a bundle in force and accepts work.
    pub async fn wait_until_ready(&self, timeout: Duration) -> Result<(), ClusterError> {
        self.wait_for_success("/readyz", timeout).await
    }

    async fn wait_for_success(&self, path: &str, timeout: Duration) -> Result<(), ClusterError> {
        let client = crate::http_client();
        let url = format!("{}{path}", self.url());
        let start = Instant::now();
        loop {
            let last_error = match client.get(&url).timeout(CALL_TIMEOUT).send().await {
                Ok(answer) if answer.status().is_success() => return Ok(()),
                Ok(answer) => answer.text().await.unwrap_or_default(),
                Err(error) => format!("{error:?}"),
            };
            if start.elapsed() > timeout {
                return Err(ClusterError::Timeout {
                    what: format!("{path} of {}", self.name()),
                    last_error: format!("{last_error}; log:\n{}", self.log_tail()),
                });
            }
            tokio::time::sleep(POLL).await;
        }
    }
}

/// Proxies between a daemon and the platform's services.
#[derive(Debug)]
pub(super) struct PlatformProxies {
    pub(super) key_value: Proxy,
    pub(super) machine_list: Proxy,
    pub(super) scorer: Proxy,
}
