//! Signals that stop a daemon.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receiver of the signals that start a drain.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// If a handler cannot be installed.
    pub fn listen() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal and returns its name.
    pub async fn next(&mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        }
    }
}
