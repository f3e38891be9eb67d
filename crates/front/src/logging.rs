//! Structured log lines on standard output: `time=… level=… node=… module=… event=… key=value …`, one event a line.
//!
//! Lines go through a bounded queue to a thread of their own, so that a reader that stops reading holds nothing up. Lines
//! that find the queue full, and lines of level `info` beyond [`INFO_LINES_PER_SECOND`], are left out and counted; a line
//! says how many. Failures are logged as warnings or errors, which are left out only when the queue is full.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ladderstage_clock::Instant;

/// Environment variable with the filter, as `env_logger` reads it.
const FILTER_VARIABLE: &str = "LADDERSTAGE_LOG";

/// Filter when the variable is not set.
const DEFAULT_FILTER: &str = "info,hyper=error,reqwest=error";

/// Lines of level `info` and below in one second.
pub const INFO_LINES_PER_SECOND: u32 = 400;

/// Lines left out since the start.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines put into the queue, and lines taken out of it and written.
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);
static WRITTEN_LINES: AtomicU64 = AtomicU64::new(0);

/// Between looks at the queue while it is flushed.
const FLUSH_LOOK: Duration = Duration::from_millis(2);

/// Lines that wait at most.
const QUEUE_LINES: usize = 2_048;

/// Takes whole lines from the logger.
struct QueueWriter {
    queue: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if self.queue.try_send(line.to_vec()).is_ok() {
            QUEUED_LINES.fetch_add(1, Ordering::Relaxed);
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Counts the lines of one second.
#[derive(Default)]
struct SecondCount {
    second: u64,
    lines: u32,
}

impl SecondCount {
    /// Whether one more line fits into the second.
    fn take(&mut self, second: u64) -> bool {
        if self.second != second {
            *self = Self { second, lines: 0 };
        }
        self.lines += 1;
        self.lines <= INFO_LINES_PER_SECOND
    }
}

/// Lines left out since the start.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Waits until all lines so far are written, for `limit` at most: the last ones of a process tell why it ended.
pub fn flush(limit: Duration) {
    let deadline = Instant::now() + limit;
    let is_written =
        || WRITTEN_LINES.load(Ordering::Relaxed) >= QUEUED_LINES.load(Ordering::Relaxed);
    while !is_written() && Instant::now() < deadline {
        std::thread::sleep(FLUSH_LOOK);
    }
}

/// Installs the logger; a second call changes nothing.
pub fn install(node: &str) {
    let node = node.to_owned();
    let dropped = Arc::new(AtomicU64::new(0));
    let (queue, lines) = sync_channel::<Vec<u8>>(QUEUE_LINES);
    let left_out = Arc::clone(&dropped);
    std::thread::spawn(move || {
        let mut output = std::io::stdout();
        while let Ok(line) = lines.recv() {
            let count = left_out.swap(0, Ordering::Relaxed);
            if count > 0 {
                let _ = writeln!(output, "level=warn event=log_lines_dropped count={count}");
            }
            if output.write_all(&line).is_err() {
                return;
            }
            WRITTEN_LINES.fetch_add(1, Ordering::Relaxed);
        }
    });
    let over_rate = Arc::clone(&dropped);
    let writer = QueueWriter { queue, dropped };
    let count = Mutex::new(SecondCount::default());
    let environment = env_logger::Env::default().filter_or(FILTER_VARIABLE, DEFAULT_FILTER);
    let installed = env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Pipe(Box::new(writer)))
        .format(move |buffer, record| {
            let now = std::time::SystemTime::now();
            let since = now
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default();
            let is_routine = record.level() >= log::Level::Info;
            let mut count = count
                .lock()
                .unwrap_or_else(|poisoned| poisoned.into_inner());
            if is_routine && !count.take(since.as_secs()) {
                over_rate.fetch_add(1, Ordering::Relaxed);
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
                return Ok(());
            }
            drop(count);
            writeln!(
                buffer,
                "time={}.{:03} level={} node={} module={} {}",
                since.as_secs(),
                since.subsec_millis(),
                record.level().as_str().to_ascii_lowercase(),
                node,
                record.target(),
                record.args().to_string().replace(['\n', '\r'], "\\n"),
            )
        })
        .try_init();
    drop(installed);
}
