//! Real processes for tests: started from beside the test executable, with captured logs, signalled by pid, and
//! ended when dropped.

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

/// How long a process may take until it has told its addresses.
const START_BOUND: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(5);
/// Between looks whether a process has stopped.
const STOP_POLL: Duration = Duration::from_millis(1);
/// How much of a log error messages show.
const LOG_TAIL_LINES: usize = 60;

/// Why a process could not be used.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program was not built.
    #[error("{} is missing: run `cargo build --workspace --bins` first", .0.display())]
    Missing(PathBuf),
    /// A file or the process could not be used.
    #[error("{name}: {source}")]
    Io {
        /// Name of the process.
        name: String,
        /// What failed.
        source: io::Error,
    },
    /// It ended before it was ready.
    #[error("{name} ended with {status}; its log ends:\n{log}")]
    Ended {
        /// Name of the process.
        name: String,
        /// Exit status.
        status: ExitStatus,
        /// End of its log.
        log: String,
    },
    /// It did not do in time what it should.
    #[error("{name} did not {what} in time; its log ends:\n{log}")]
    TimedOut {
        /// Name of the process.
        name: String,
        /// What it should have done.
        what: String,
        /// End of its log.
        log: String,
    },
}

/// A running process. Dropping it kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log_path: PathBuf,
    /// Where this start's part of the log begins.
    log_offset: usize,
    is_paused: bool,
}

impl Process {
    /// Starts a program of this workspace; its output is appended to `<folder>/<name>.log`.
    pub fn start<A: AsRef<OsStr>>(
        program: &str,
        name: &str,
        arguments: impl IntoIterator<Item = A>,
        folder: &Path,
    ) -> Result<Self, ProcessError> {
        Self::start_file(&program_path(program)?, name, arguments, folder)
    }

    /// As [`Process::start`], any program file.
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

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// All that this start has written to its output.
    pub fn log(&self) -> String {
        let whole = read_log(&self.log_path);
        whole.get(self.log_offset..).unwrap_or_default().to_owned()
    }

    /// Waits until the output tells `<key>=ip:port`.
    pub async fn address(&mut self, key: &str) -> Result<SocketAddr, ProcessError> {
        let start = Instant::now();
        loop {
            if let Some(address) = find_address(&self.log(), key) {
                return Ok(address);
            }
            if let Some(status) = self.exit_status()? {
                return Err(self.ended(status));
            }
            if start.elapsed() > START_BOUND {
                return Err(self.timed_out(&format!("tell its {key} address")));
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Exit status, if it has ended.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>, ProcessError> {
        let status = self.child.try_wait();
        status.map_err(|source| ProcessError::Io {
            name: self.name.clone(),
            source,
        })
    }

    /// Waits until it has ended.
    pub async fn wait(&mut self, bound: Duration) -> Result<ExitStatus, ProcessError> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            if start.elapsed() > bound {
                return Err(self.timed_out("end"));
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// SIGTERM.
    pub fn terminate(&mut self) {
        self.signal(Signal::SIGTERM);
    }

    /// SIGSTOP, and waits until all its threads have stopped: on a busy machine some run on for a while. A process that is paused
    /// already tells of no further stop, so that a second wait would not end.
    pub fn pause(&mut self) {
        if std::mem::replace(&mut self.is_paused, true) {
            return;
        }
        self.signal(Signal::SIGSTOP);
        while !self.has_stopped() && matches!(self.child.try_wait(), Ok(None)) {
            std::thread::sleep(STOP_POLL);
        }
    }

    /// SIGCONT.
    pub fn resume(&mut self) {
        self.is_paused = false;
        self.signal(Signal::SIGCONT);
    }

    /// Signals the process unless it was already found ended: its pid could be another's by then.
    fn signal(&mut self, signal: Signal) {
        if let Ok(None) = self.child.try_wait() {
            let _ = signal::kill(Pid::from_raw(self.child.id() as i32), signal);
        }
    }

    /// Whether it was stopped since this was asked last.
    fn has_stopped(&self) -> bool {
        let id = Id::Pid(Pid::from_raw(self.child.id() as i32));
        let status = waitid(id, WaitPidFlag::WSTOPPED | WaitPidFlag::WNOHANG);
        matches!(status, Ok(WaitStatus::Stopped(..)))
    }

    fn ended(&self, status: ExitStatus) -> ProcessError {
        ProcessError::Ended {
            name: self.name.clone(),
            status,
            log: self.log_tail(),
        }
    }

    fn timed_out(&self, what: &str) -> ProcessError {
        ProcessError::TimedOut {
            name: self.name.clone(),
            what: what.to_owned(),
            log: self.log_tail(),
        }
    }

    /// The last lines of that.
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

/// Path of a program of this workspace: beside the running executable, or one folder up from a test's.
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

/// The address after `<key>=` in the first whole line that has one.
fn find_address(log: &str, key: &str) -> Option<SocketAddr> {
    let whole_lines = log.rfind('\n').map_or("", |end| &log[..end]);
    whole_lines
        .split_whitespace()
        .filter_map(|word| word.strip_prefix(key)?.strip_prefix('='))
        .find_map(|value| value.parse().ok())
}
