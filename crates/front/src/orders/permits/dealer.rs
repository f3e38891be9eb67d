//! Issues permits while this node holds the orders lease.

use std::sync::{Arc, Mutex, MutexGuard};

use ladderstage_clock::Instant;
use ladderstage_wire::messages::{AskSendPermits, SendPermit, SendPermits};
use tokio::sync::watch;

use super::ledger::PermitLedger;
use crate::backend::ColdLimits;

/// Maximum number of instances per request.
const MOST_INSTANCES: usize = 1_024;

/// Answers permit requests. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct PermitDealer {
    limits: ColdLimits,
    holding: Arc<Mutex<Option<Holding>>>,
}

/// Lease under which this node issues permits.
#[derive(Debug)]
struct Holding {
    proven_until: watch::Receiver<Instant>,
    ledger: PermitLedger,
}

/// Guard during whose lifetime this node issues permits.
#[derive(Debug)]
pub struct Dealing {
    dealer: PermitDealer,
}

impl Drop for Dealing {
    fn drop(&mut self) {
        *self.dealer.lock() = None;
    }
}

impl PermitDealer {
    /// Creates an issuer that applies the given limits.
    pub fn new(limits: ColdLimits) -> Self {
        Self {
            limits,
            holding: Arc::default(),
        }
    }

    /// Starts to issue permits under a newly acquired lease. `proven_until` is the time until which
    /// the lease is certain to be valid.
    pub fn begin(&self, proven_until: watch::Receiver<Instant>) -> Dealing {
        *self.lock() = Some(Holding {
            proven_until,
            ledger: PermitLedger::new(Instant::now()),
        });
        Dealing {
            dealer: self.clone(),
        }
    }

    /// Issues the requested permits within the limits; `None` unless this node is certain to hold
    /// the lease.
    pub fn deal(&self, asked: &AskSendPermits) -> Option<SendPermits> {
        let now = Instant::now();
        let mut holding = self.lock();
        let holding = holding.as_mut()?;
        if now >= *holding.proven_until.borrow() {
            return None;
        }
        let wanted = asked.wanted.iter().take(MOST_INSTANCES);
        let dealt = wanted.filter_map(|wanted| {
            let limit = self.limits.get(&wanted.service)?;
            let ledger = &mut holding.ledger;
            let count = ledger.deal(&wanted.instance, wanted.count, limit.dealt, now);
            (count > 0).then(|| SendPermit {
                count,
                ..wanted.clone()
            })
        });
        Some(SendPermits {
            dealt: dealt.collect(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Option<Holding>> {
        self.holding
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
