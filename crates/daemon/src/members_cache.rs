//! Cache of a value that depends on the member list and the bundle.

use ladderstage::ids::Revision;

/// Value computed from the member list and a bundle, recomputed when either changes.
///
/// Used for rankings of all back ends over all members, which are too expensive to compute in every round.
#[derive(Debug)]
pub(crate) struct MembersCache<T> {
    entry: Option<Entry<T>>,
}

#[derive(Debug)]
struct Entry<T> {
    revision: Revision,
    members: Vec<String>,
    value: T,
}

impl<T> Default for MembersCache<T> {
    fn default() -> Self {
        Self { entry: None }
    }
}

impl<T> MembersCache<T> {
    /// Returns the value for a bundle revision and members; computes it if either has changed.
    pub(crate) fn get(
        &mut self,
        revision: Revision,
        members: Vec<String>,
        compute: impl FnOnce(&[String]) -> T,
    ) -> &T {
        let entry = self.entry.take();
        let entry = entry.filter(|entry| entry.revision == revision && entry.members == members);
        let entry = entry.unwrap_or_else(|| Entry {
            revision,
            value: compute(&members),
            members,
        });
        &self.entry.insert(entry).value
    }
}
