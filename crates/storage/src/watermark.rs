//! Number of the last durable commit, kept in a separate file.
//!
//! A damaged database may recover to an earlier commit without an error. The watermark is
//! written after each commit and before its responses are sent, so that such a rollback is
//! detected. Commits alternate between two slots, so that a torn write damages at most one of them.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Size of one slot in bytes: replica id, commit number, CRC-32 of both.
const SLOT_BYTES: usize = 20;

/// Offset between the slots in bytes, so that they do not share a disk sector.
const SLOT_DISTANCE: u64 = 4096;

/// Content of one slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Slot {
    pub replica_id: u64,
    pub commit_number: u64,
}

/// Open watermark file.
#[derive(Debug)]
pub(crate) struct Watermark {
    file: File,
    replica_id: u64,
}

impl Watermark {
    /// Creates or overwrites the file, with commit number 0.
    pub fn create(path: &Path, replica_id: u64) -> io::Result<Self> {
        let file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(true)
            .open(path)?;
        let watermark = Self { file, replica_id };
        watermark.record(0)?;
        watermark.file.sync_all()?;
        Ok(watermark)
    }

    /// Opens the file and returns the newest intact slot; `None` if neither slot is intact.
    pub fn open(path: &Path) -> io::Result<(Self, Option<Slot>)> {
        let file = OpenOptions::new().read(true).write(true).open(path)?;
        let mark = [0, SLOT_DISTANCE]
            .into_iter()
            .filter_map(|offset| read_slot(&file, offset))
            .max_by_key(|mark| mark.commit_number);
        // The caller refuses a folder without an intact slot, so 0 is never written.
        let replica_id = mark.map_or(0, |mark| mark.replica_id);
        Ok((Self { file, replica_id }, mark))
    }

    /// Records that commit `commit_number` is about to be acknowledged; durable on return.
    pub fn record(&self, commit_number: u64) -> io::Result<()> {
        let mut slot = [0; SLOT_BYTES];
        slot[..8].copy_from_slice(&self.replica_id.to_be_bytes());
        slot[8..16].copy_from_slice(&commit_number.to_be_bytes());
        let checksum = crc32fast::hash(&slot[..16]);
        slot[16..].copy_from_slice(&checksum.to_be_bytes());
        self.file
            .write_all_at(&slot, (commit_number % 2) * SLOT_DISTANCE)?;
        self.file.sync_data()
    }
}

fn read_slot(file: &File, offset: u64) -> Option<Slot> {
    let mut slot = [0; SLOT_BYTES];
    file.read_exact_at(&mut slot, offset).ok()?;
    let [replica_id, commit_number] = [&slot[..8], &slot[8..16]].map(read_u64_be);
    let checksum = u32::from_be_bytes(slot[16..].try_into().ok()?);
    (checksum == crc32fast::hash(&slot[..16])).then_some(Slot {
        replica_id,
        commit_number,
    })
}

fn read_u64_be(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |value, byte| value << 8 | u64::from(*byte))
}
