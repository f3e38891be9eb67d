//! Issues permits while this node holds the orders lease.

use std::sync::{Arc, Mutex, MutexGuard};

use ladderstage_clock::Instant;
use ladderstage_wire::messages::{AskSendPermits, SendPermit, SendPermits};
use tokio::sync::watch;

use super::ledger::PermitLedger;
use crate::backend::ColdLimitTable;

/// Maximum number of instances per request; further ones are ignored.
const MAX_INSTANCES: usize = 1_024;

/// Answers permit requests. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct PermitIssuer {
    limits: ColdLimitTable,
    held: Arc<Mutex<Option<ActiveLease>>>,
}

/// Permits issued under the current lease, with the time until which the lease is valid.
#[derive(Debug)]
struct ActiveLease {
    valid_until: watch::Receiver<Instant>,
    ledger: PermitLedger,
}

/// Stops issuing permits when it is dropped.
#[derive(Debug)]
pub struct IssuingGuard {
    issuer: PermitIssuer,
}

impl Drop for IssuingGuard {
    fn drop(&mut self) {
        *self.issuer.lock() = None;
    }
}

impl PermitIssuer {
    /// Creates an issuer that applies the given limits.
    pub fn new(limits: ColdLimitTable) -> Self {
        Self {
            limits,
            held: Arc::default(),
        }
    }

    /// Starts to issue permits under a newly acquired lease. `valid_until` is the time until which
    /// the lease is certain to be valid.
    pub fn start(&self, valid_until: watch::Receiver<Instant>) -> IssuingGuard {
        *self.lock() = Some(ActiveLease {
            valid_until,
            ledger: PermitLedger::new(Instant::now()),
        });
        IssuingGuard {
            issuer: self.clone(),
        }
    }

    /// Issues the requested permits within the limits; `None` unless this node is certain to hold
    /// the lease.
    pub fn issue(&self, request: &AskSendPermits) -> Option<SendPermits> {
        let now = Instant::now();
        let mut held = self.lock();
        let held = held.as_mut()?;
        if now >= *held.valid_until.borrow() {
            return None;
        }
        let requested = request.wanted.iter().take(MAX_INSTANCES);
        let issued = requested.filter_map(|requested| {
            let limit = self.limits.get(&requested.service)?;
            let ledger = &mut held.ledger;
            let count = ledger.issue(
                &requested.instance,
                requested.count,
                limit.permits_per_second,
                now,
            );
            (count > 0).then(|| SendPermit {
                count,
                ..requested.clone()
            })
        });
        Some(SendPermits {
            dealt: issued.collect(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Option<ActiveLease>> {
        self.held
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
