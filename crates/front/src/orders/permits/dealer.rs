//! Deals permits while this node holds the orders lease.

use std::sync::{Arc, Mutex, MutexGuard};

use ladderstage_clock::Instant;
use ladderstage_wire::messages::{AskSendPermits, SendPermit, SendPermits};
use tokio::sync::watch;

use super::ledger::PermitLedger;
use crate::backend::ColdLimits;

/// Instances that one question may name.
const MOST_INSTANCES: usize = 1_024;

/// Answers questions for permits. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct PermitIssuer {
    limits: ColdLimits,
    holding: Arc<Mutex<Option<Holding>>>,
}

/// The lease under which this node deals.
#[derive(Debug)]
struct Holding {
    valid_until: watch::Receiver<Instant>,
    ledger: PermitLedger,
}

/// This node deals until it is dropped.
#[derive(Debug)]
pub struct Dealing {
    issuer: PermitIssuer,
}

impl Drop for Dealing {
    fn drop(&mut self) {
        *self.issuer.lock() = None;
    }
}

impl PermitIssuer {
    /// Deals by some limits.
    pub fn new(limits: ColdLimits) -> Self {
        Self {
            limits,
            holding: Arc::default(),
        }
    }

    /// Begins to deal under a lease that this node has just gained; `proven_until` tells until when it certainly lasts.
    pub fn start(&self, valid_until: watch::Receiver<Instant>) -> Dealing {
        *self.lock() = Some(Holding {
            valid_until,
            ledger: PermitLedger::new(Instant::now()),
        });
        Dealing {
            issuer: self.clone(),
        }
    }

    /// Deals what is asked for, as far as the limits allow; `None` if this node does not certainly hold the lease.
    pub fn issue(&self, asked: &AskSendPermits) -> Option<SendPermits> {
        let now = Instant::now();
        let mut holding = self.lock();
        let holding = holding.as_mut()?;
        if now >= *holding.valid_until.borrow() {
            return None;
        }
        let wanted = asked.wanted.iter().take(MOST_INSTANCES);
        let dealt = wanted.filter_map(|wanted| {
            let limit = self.limits.get(&wanted.service)?;
            let ledger = &mut holding.ledger;
            let count = ledger.issue(&wanted.instance, wanted.count, limit.dealt, now);
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
