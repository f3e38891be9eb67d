//! Memory of a job at its owner: the submitted items and the entry of the log that holds them.

use std::sync::{Arc, Mutex};

use ladderstage_wire::messages::JobSpec;

use super::lock::lock;
use crate::dialect::{ITEM_BYTES, item_bytes};
use crate::memory::{BudgetExhausted, Reservation};

/// Memory reserved for one job. Cheap to clone; given back with the last clone.
#[derive(Debug, Clone)]
pub struct JobMemory {
    reservation: Arc<Mutex<Reservation>>,
}

impl JobMemory {
    /// Takes over the memory that was reserved for a job's items.
    pub fn new(reservation: Reservation) -> Self {
        Self {
            reservation: Arc::new(Mutex::new(reservation)),
        }
    }

    /// Takes over the memory that was reserved for the log of an adopted job, and for as many bytes of
    /// decoded items.
    pub fn adopt(mut reservation: Reservation, spec: &JobSpec, log_bytes: usize) -> Self {
        let bytes = items_bytes(spec) + log_bytes;
        let missing = bytes.saturating_sub(reservation.bytes());
        // The items are decoded already.
        reservation.grow_unchecked(missing);
        reservation.shrink_to(bytes);
        Self::new(reservation)
    }

    /// Gives back all but the memory of the items and of the log.
    pub fn set_log_bytes(&self, spec: &JobSpec, log_bytes: usize) {
        lock(&self.reservation).shrink_to(items_bytes(spec) + log_bytes);
    }

    /// Gives back the memory of the log of an ended job at once, and that of the items' content when the
    /// returned value is dropped, as their runs may go on.
    pub fn end(&self, spec: &JobSpec) -> ItemContent {
        self.set_log_bytes(spec, 0);
        ItemContent {
            memory: self.clone(),
            items: spec.items.len(),
        }
    }
}

/// Memory of the content of an ended job's items, given back on drop.
#[derive(Debug)]
pub struct ItemContent {
    memory: JobMemory,
    items: usize,
}

impl ItemContent {
    /// Reserves memory for copies of items, until this value is dropped.
    ///
    /// # Errors
    /// Reserves nothing if the budget is exhausted.
    pub fn grow(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        lock(&self.memory.reservation).grow(bytes)
    }
}

impl Drop for ItemContent {
    fn drop(&mut self) {
        lock(&self.memory.reservation).shrink_to(self.items * ITEM_BYTES);
    }
}

/// Returns the memory of all items of a job, in bytes.
pub fn items_bytes(spec: &JobSpec) -> usize {
    spec.items.iter().map(item_bytes).sum()
}
