//! Which instance should load which version next.
//!
//! A version is served by the instances that have it or a newer one. A job that allows the version before the newest runs on
//! either, so only some instances need each version: they take turns, and each loads about every second one.

/// An instance that holds models.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetInstance {
    /// Its id.
    pub id: String,
    /// Version that it has of the model; 0: none.
    pub version: u64,
    /// An order is under way there, or was given a moment ago.
    pub is_busy: bool,
}

/// What is wanted of one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelDemand {
    /// Its name.
    pub model: String,
    /// Newest version that was named.
    pub newest: u64,
}

/// An order to give.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Planned {
    /// Instance to load.
    pub instance: String,
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
}

/// The next order for one model, given what is loading anywhere and how many may load at once.
///
/// Instances two or more versions behind go first, as no job may use them soon; then, until half of the fleet has the
/// newest version, those one behind.
pub fn plan(
    demand: &ModelDemand,
    fleet: &[FleetInstance],
    loading: usize,
    most_loading: usize,
) -> Option<Planned> {
    if loading >= most_loading || demand.newest < 2 {
        return None;
    }
    let current = fleet
        .iter()
        .filter(|instance| instance.version >= demand.newest)
        .count();
    let wanted = fleet.len().div_ceil(2);
    let idle = fleet.iter().filter(|instance| !instance.is_busy);
    let behind = idle
        .filter(|instance| instance.version < demand.newest)
        .min_by(|left, right| (left.version, &left.id).cmp(&(right.version, &right.id)))?;
    let is_far_behind = behind.version + 1 < demand.newest;
    (is_far_behind || current < wanted).then(|| Planned {
        instance: behind.id.clone(),
        model: demand.model.clone(),
        version: demand.newest,
    })
}
