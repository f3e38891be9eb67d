//! Lists of the instances among which a choice is made, so that a choice does not look through the
//! whole fleet.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ladderstage_clock::Instant;

use super::instance::Instance;

/// Maximum size of a table of which the lists are always up to date.
const SMALL_TABLE: usize = 512;

/// Time for which the lists of a larger table may lack an instance that loaded new weights. Weights
/// change hundreds of times a second in a large fleet, and each new list looks at all instances.
const MAX_LIST_AGE: Duration = Duration::from_millis(50);

/// Weights that an instance must have to be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequiredWeights<'a> {
    /// Name of the model; empty for any.
    pub model: &'a str,
    /// Minimum version.
    pub min_version: u64,
}

impl<'a> RequiredWeights<'a> {
    /// Any instance fits.
    pub const ANY: Self = Self::any_version("");

    /// Requires no particular version of a model.
    pub const fn any_version(model: &'a str) -> Self {
        Self {
            model,
            min_version: 0,
        }
    }

    /// Returns whether an instance has the weights.
    pub fn fit(&self, instance: &Instance) -> bool {
        self.min_version == 0 || instance.version(self.model) >= self.min_version
    }
}

/// Number of changes of any instance's weights. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct WeightChanges(Arc<AtomicU64>);

impl WeightChanges {
    /// Counts a change.
    pub fn count(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn current(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Key of a list: service, model and minimum version.
type ListKey = (String, String, u64);

/// Lists of instances by service and weights. Made when they are first needed.
#[derive(Debug, Default)]
pub(super) struct ChoiceIndex {
    lists: HashMap<ListKey, Arc<Vec<Arc<Instance>>>>,
    weight_changes: u64,
    made_at: Option<Instant>,
    /// Number of instances looked at so far.
    looked_at: u64,
}

impl ChoiceIndex {
    /// Discards the lists, as an instance was added or removed.
    pub fn clear(&mut self) {
        self.lists.clear();
    }

    /// Returns the number of instances looked at so far to make lists.
    pub fn looked_at(&self) -> u64 {
        self.looked_at
    }

    /// Returns the instances of a service with the required weights, sorted by id.
    pub fn list<'a>(
        &mut self,
        service: &str,
        weights: RequiredWeights,
        changes: &WeightChanges,
        instances: impl ExactSizeIterator<Item = &'a Arc<Instance>>,
    ) -> Arc<Vec<Arc<Instance>>> {
        self.discard_outdated(changes, instances.len());
        let key = (
            service.to_owned(),
            weights.model.to_owned(),
            weights.min_version,
        );
        if let Some(list) = self.lists.get(&key) {
            return Arc::clone(list);
        }
        self.looked_at += instances.len() as u64;
        let found = instances.filter(|one| one.belongs_to(service) && weights.fit(one));
        let list = Arc::new(found.cloned().collect::<Vec<_>>());
        self.lists.insert(key, Arc::clone(&list));
        list
    }

    /// Discards the lists that depend on weights once these have changed.
    fn discard_outdated(&mut self, changes: &WeightChanges, table_size: usize) {
        let current = changes.current();
        if self.weight_changes == current && self.made_at.is_some() {
            return;
        }
        let is_recent = self.made_at.is_some_and(|at| at.elapsed() < MAX_LIST_AGE);
        if is_recent && table_size > SMALL_TABLE {
            return;
        }
        self.lists
            .retain(|(_, _, min_version), _| *min_version == 0);
        self.weight_changes = current;
        self.made_at = Some(Instant::now());
    }
}
