//! Counters of bytes and frames.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of bytes and frames in both directions.
#[derive(Debug, Default)]
pub struct Traffic {
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    frames_in: AtomicU64,
    frames_out: AtomicU64,
}

/// Snapshot of [`Traffic`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficSnapshot {
    /// Number of bytes received in complete frames, including headers.
    pub bytes_in: u64,
    /// Number of bytes sent in complete frames, including headers.
    pub bytes_out: u64,
    /// Number of complete frames received.
    pub frames_in: u64,
    /// Number of complete frames sent.
    pub frames_out: u64,
}

impl Traffic {
    /// Returns the current values.
    pub fn snapshot(&self) -> TrafficSnapshot {
        TrafficSnapshot {
            bytes_in: self.bytes_in.load(Ordering::Relaxed),
            bytes_out: self.bytes_out.load(Ordering::Relaxed),
            frames_in: self.frames_in.load(Ordering::Relaxed),
            frames_out: self.frames_out.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn received(&self, bytes: usize) {
        self.bytes_in.fetch_add(bytes as u64, Ordering::Relaxed);
        self.frames_in.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn sent(&self, bytes: usize) {
        self.bytes_out.fetch_add(bytes as u64, Ordering::Relaxed);
        self.frames_out.fetch_add(1, Ordering::Relaxed);
    }
}
