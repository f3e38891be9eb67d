//! Structured log lines on standard output, one event per line: `time=… level=… node=… module=…
//! event=… key=value …`.
//!
//! A separate thread writes the lines from a bounded queue, so that a blocked reader of the output
//! does not block the program. Lines that find the queue full, and lines of level `info` and below
//! beyond [`INFO_LINES_PER_SECOND`], are dropped and counted; a line reports the count. Warnings
//! and errors are dropped only when the queue is full.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ladderstage_clock::Instant;

/// Environment variable with the filter in the syntax of `env_logger`.
const FILTER_VARIABLE: &str = "LADDERSTAGE_LOG";

/// Default filter.
const DEFAULT_FILTER: &str = "info,hyper=error,reqwest=error";

/// Maximum number of lines of level `info` and below per second.
pub const INFO_LINES_PER_SECOND: u32 = 400;

/// End of a line that was cut.
const CUT_MARK: &[u8] = b" line_cut=true\n";

/// Lines dropped since the start.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines put into the queue.
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);
/// Lines taken from the queue and written.
static WRITTEN_LINES: AtomicU64 = AtomicU64::new(0);

/// Interval between checks of the queue while flushing.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Maximum number of queued lines.
const QUEUE_CAPACITY: usize = 2_048;

/// Maximum length of a line, in bytes. Longer ones, such as those that name a long id of a client, are cut.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// Puts complete lines of the logger into the queue.
struct QueueWriter {
    queue: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if self.queue.try_send(cut(line)).is_ok() {
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

/// Returns a line of at most [`MAX_LINE_BYTES`], which ends with a line feed.
fn cut(line: &[u8]) -> Vec<u8> {
    if line.len() <= MAX_LINE_BYTES {
        return line.to_vec();
    }
    let text = String::from_utf8_lossy(&line[..MAX_LINE_BYTES - CUT_MARK.len()]);
    // The last character may be incomplete.
    let text = text.trim_end_matches(char::REPLACEMENT_CHARACTER);
    [text.as_bytes(), CUT_MARK].concat()
}

/// Counts the lines of the current second.
#[derive(Default)]
struct RateLimiter {
    second: u64,
    lines: u32,
}

impl RateLimiter {
    /// Counts a line and returns whether it is within the limit.
    fn admit(&mut self, second: u64) -> bool {
        if self.second != second {
            *self = Self { second, lines: 0 };
        }
        self.lines += 1;
        self.lines <= INFO_LINES_PER_SECOND
    }
}

/// Returns the number of lines dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Waits until all lines so far are written, for `limit` at most, so that the reason for an exit is
/// logged.
pub fn flush(limit: Duration) {
    let deadline = Instant::now() + limit;
    let is_drained =
        || WRITTEN_LINES.load(Ordering::Relaxed) >= QUEUED_LINES.load(Ordering::Relaxed);
    while !is_drained() && Instant::now() < deadline {
        std::thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

/// Installs the logger. Further calls have no effect.
pub fn install(node: &str) {
    let node = node.to_owned();
    let dropped = Arc::new(AtomicU64::new(0));
    let (queue, lines) = sync_channel::<Vec<u8>>(QUEUE_CAPACITY);
    let unreported_drops = Arc::clone(&dropped);
    std::thread::spawn(move || {
        let mut output = std::io::stdout();
        while let Ok(line) = lines.recv() {
            let count = unreported_drops.swap(0, Ordering::Relaxed);
            if count > 0 {
                let _ = writeln!(output, "level=warn event=log_lines_dropped count={count}");
            }
            if output.write_all(&line).is_err() {
                return;
            }
            WRITTEN_LINES.fetch_add(1, Ordering::Relaxed);
        }
    });
    let drop_counter = Arc::clone(&dropped);
    let writer = QueueWriter { queue, dropped };
    let limiter = Mutex::new(RateLimiter::default());
    let environment = env_logger::Env::default().filter_or(FILTER_VARIABLE, DEFAULT_FILTER);
    let installed = env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Pipe(Box::new(writer)))
        .format(move |buffer, record| {
            let now = std::time::SystemTime::now();
            let since = now
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default();
            let is_routine = record.level() >= log::Level::Info;
            let mut limiter = limiter
                .lock()
                .unwrap_or_else(|poisoned| poisoned.into_inner());
            if is_routine && !limiter.admit(since.as_secs()) {
                drop_counter.fetch_add(1, Ordering::Relaxed);
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
                return Ok(());
            }
            drop(limiter);
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
