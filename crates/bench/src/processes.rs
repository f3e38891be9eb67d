//! Processes for tests: started from the test executable's build folder, with captured logs, and
//! killed when dropped.

use std::ffi::OsStr;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{self, Signal};
use nix::sys::wait::{Id, WaitPidFlag, WaitStatus, waitid};
use nix::unistd::Pid;

/// Time for a process to print its addresses.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(5);
/// Interval of checks whether a process has stopped.
const STOP_POLL: Duration = Duration::from_millis(1);
/// Number of log lines shown in error messages.
const LOG_TAIL_LINES: usize = 60;

/// Error of a process operation.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program is not built.
    #[error("{} is missing: run `cargo build --workspace --bins` first", .0.display())]
    Missing(PathBuf),
    /// The process or one of its files could not be used.
    #[error("{name}: {source}")]
    Io { name: String, source: io::Error },
    /// The process exited before it was ready.
    #[error("{name} exited with {status}; last lines of its log:\n{log}")]
    Exited {
        name: String,
        status: ExitStatus,
        /// Last lines of its log.
        log: String,
    },
    /// The process did not act in time.
    #[error("{name} did not {what} in time; last lines of its log:\n{log}")]
    TimedOut {
        name: String,
        /// Action that was expected.
        what: String,
        /// Last lines of its log.
        log: String,
    },
}

/// A running process. Dropping it kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log_path: PathBuf,
    /// Length of the log file when this process was started.
    log_offset: usize,
    is_paused: bool,
}

impl Process {
    /// Starts a program of this workspace and appends its output to `<folder>/<name>.log`.
    pub fn start<A: AsRef<OsStr>>(
        program: &str,
        name: &str,
        arguments: impl IntoIterator<Item = A>,
        folder: &Path,
    ) -> Result<Self, ProcessError> {
        Self::start_file(&program_path(program)?, name, arguments, folder)
    }

    /// Like [`Process::start`], for any program file.
    pub fn start_file<A: AsRef<OsStr>>(
        program: &Path,
        name: &str,
        arguments: impl IntoIterator<Item = A>,
        folder: &Path,
    ) -> Result<Self, ProcessError> {
        let io_error = |source| ProcessError::Io {
            name: name.to_owned(),
            source,
        };
        let log_path = folder.join(format!("{name}.log"));
        let log_offset = read_log(&log_path).len();
        let log = File::options()
            .create(true)
            .append(true)
            .open(&log_path)
            .map_err(io_error)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(io_error)?)
            .stderr(log)
            .spawn()
            .map_err(io_error)?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log_path,
            log_offset,
            is_paused: false,
        })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the output of this process.
    pub fn log(&self) -> String {
        let content = read_log(&self.log_path);
        content
            .get(self.log_offset..)
            .unwrap_or_default()
            .to_owned()
    }

    /// Waits until the output contains `<key>=ip:port`.
    pub async fn address(&mut self, key: &str) -> Result<SocketAddr, ProcessError> {
        let start = Instant::now();
        loop {
            if let Some(address) = find_address(&self.log(), key) {
                return Ok(address);
            }
            if let Some(status) = self.exit_status()? {
                return Err(self.exited_error(status));
            }
            if start.elapsed() > START_TIMEOUT {
                return Err(self.timeout_error(&format!("print its {key} address")));
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>, ProcessError> {
        let status = self.child.try_wait();
        status.map_err(|source| ProcessError::Io {
            name: self.name.clone(),
            source,
        })
    }

    /// Waits until the process has exited.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus, ProcessError> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            if start.elapsed() > timeout {
                return Err(self.timeout_error("exit"));
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn terminate(&mut self) {
        self.signal(Signal::SIGTERM);
    }

    /// Sends SIGSTOP and waits until all threads have stopped, which may take a while on a busy
    /// machine. Does nothing if already paused, since a stopped process reports no further stop.
    pub fn pause(&mut self) {
        if std::mem::replace(&mut self.is_paused, true) {
            return;
        }
        self.signal(Signal::SIGSTOP);
        while !self.has_stopped() && matches!(self.child.try_wait(), Ok(None)) {
            std::thread::sleep(STOP_POLL);
        }
    }

    pub fn resume(&mut self) {
        self.is_paused = false;
        self.signal(Signal::SIGCONT);
    }

    /// Signals the process unless it has exited, since another process may have its pid by then.
    fn signal(&mut self, signal: Signal) {
        if let Ok(None) = self.child.try_wait() {
            let _ = signal::kill(Pid::from_raw(self.child.id() as i32), signal);
        }
    }

    /// Returns whether the process was stopped since the last call.
    fn has_stopped(&self) -> bool {
        let id = Id::Pid(Pid::from_raw(self.child.id() as i32));
        let status = waitid(id, WaitPidFlag::WSTOPPED | WaitPidFlag::WNOHANG);
        matches!(status, Ok(WaitStatus::Stopped(..)))
    }

    fn exited_error(&self, status: ExitStatus) -> ProcessError {
        ProcessError::Exited {
            name: self.name.clone(),
            status,
            log: self.log_tail(),
        }
    }

    fn timeout_error(&self, what: &str) -> ProcessError {
        ProcessError::TimedOut {
            name: self.name.clone(),
            what: what.to_owned(),
            log: self.log_tail(),
        }
    }

    /// Returns the last lines of this process's log.
    pub fn log_tail(&self) -> String {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        let start = lines.len().saturating_sub(LOG_TAIL_LINES);
        lines[start..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a program of this workspace: beside the running executable, or one folder
/// above a test.
fn program_path(program: &str) -> Result<PathBuf, ProcessError> {
    let own = std::env::current_exe().map_err(|source| ProcessError::Io {
        name: program.to_owned(),
        source,
    })?;
    let folder = own.parent().unwrap_or(Path::new("."));
    let folder = match folder.file_name() {
        Some(name) if name == "deps" => folder.parent().unwrap_or(folder),
        _ => folder,
    };
    let path = folder.join(program);
    if path.is_file() {
        return Ok(path);
    }
    Err(ProcessError::Missing(path))
}

fn read_log(path: &Path) -> String {
    let bytes = std::fs::read(path).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the address after `<key>=` in the complete lines of a log.
fn find_address(log: &str, key: &str) -> Option<SocketAddr> {
    let complete_lines = log.rfind('\n').map_or("", |end| &log[..end]);
    complete_lines
        .split_whitespace()
        .filter_map(|word| word.strip_prefix(key)?.strip_prefix('='))
        .find_map(|value| value.parse().ok())
}
