//! Structured log lines on standard output: `time=… level=… node=… module=… event=… key=value …`, one event a line.
//!
//! Lines go through a bounded queue to a thread of their own, so that a reader that stops reading holds nothing up. Lines
//! that find the queue full are left out and counted; a line says how many.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};

/// Environment variable with the filter, as `env_logger` reads it.
const FILTER_VARIABLE: &str = "LADDERSTAGE_LOG";

/// Filter when the variable is not set.
const DEFAULT_FILTER: &str = "info,hyper=error,reqwest=error";

/// Lines that wait at most.
const QUEUE_LINES: usize = 2_048;

/// Takes whole lines from the logger.
struct QueueWriter {
    queue: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if self.queue.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
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
        }
    });
    let writer = QueueWriter { queue, dropped };
    let environment = env_logger::Env::default().filter_or(FILTER_VARIABLE, DEFAULT_FILTER);
    let installed = env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Pipe(Box::new(writer)))
        .format(move |buffer, record| {
            let now = std::time::SystemTime::now();
            let since = now
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default();
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
