//! Running slots of an engine, granted by priority, then arrival.

use std::collections::BTreeMap;
use std::sync::Mutex;

use tokio::sync::oneshot;

use super::super::lock;

/// Slots of running requests and the queue for them.
#[derive(Debug)]
pub(super) struct Slots {
    capacity: u32,
    waiting_limit: u32,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    next_arrival: u64,
    waiting: BTreeMap<(i64, u64), oneshot::Sender<()>>,
}

/// The queue is full.
#[derive(Debug, thiserror::Error)]
#[error("queue full")]
pub(super) struct QueueFull;

/// An acquired slot, released on drop.
#[derive(Debug)]
pub(super) struct Slot<'a> {
    slots: &'a Slots,
}

/// An entry of the queue, removed on drop.
struct QueueEntry<'a> {
    slots: &'a Slots,
    key: (i64, u64),
    granted: oneshot::Receiver<()>,
}

impl Slots {
    pub(super) fn new(capacity: u32, waiting_limit: u32) -> Self {
        Self {
            capacity,
            waiting_limit,
            state: Mutex::default(),
        }
    }

    pub(super) fn running(&self) -> u32 {
        lock(&self.state).running
    }

    pub(super) fn waiting(&self) -> u32 {
        lock(&self.state).waiting.len() as u32
    }

    /// Waits for a slot. Lower `priority` values go first, then earlier arrivals.
    pub(super) async fn acquire(&self, priority: i64) -> Result<Slot<'_>, QueueFull> {
        let Some(mut entry) = self.enqueue(priority)? else {
            return Ok(Slot { slots: self });
        };
        let granted = (&mut entry.granted).await;
        debug_assert!(
            granted.is_ok(),
            "the sender stays in the queue until granted"
        );
        entry.granted.close();
        Ok(Slot { slots: self })
    }

    fn enqueue(&self, priority: i64) -> Result<Option<QueueEntry<'_>>, QueueFull> {
        let mut state = lock(&self.state);
        if state.running < self.capacity {
            state.running += 1;
            return Ok(None);
        }
        if state.waiting.len() as u32 >= self.waiting_limit {
            return Err(QueueFull);
        }
        let key = (priority, state.next_arrival);
        state.next_arrival += 1;
        let (grant, granted) = oneshot::channel();
        state.waiting.insert(key, grant);
        Ok(Some(QueueEntry {
            slots: self,
            key,
            granted,
        }))
    }

    fn release(&self) {
        let mut state = lock(&self.state);
        while let Some((_, grant)) = state.waiting.pop_first() {
            if grant.send(()).is_ok() {
                return;
            }
        }
        state.running -= 1;
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.slots.release();
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        lock(&self.slots.state).waiting.remove(&self.key);
        self.granted.close();
        let was_granted = self.granted.try_recv().is_ok();
        if was_granted {
            self.slots.release();
        }
    }
}
