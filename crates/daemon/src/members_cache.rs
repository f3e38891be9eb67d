//! Remembers what was worked out from the members and one bundle.

use ladderstage::ids::Revision;

/// A value that follows from the members and one bundle, worked out anew when either changes. Ranking each back end
/// of a large bundle over all members at every look would cost members times back ends.
#[derive(Debug)]
pub(crate) struct ByMembers<T> {
    known: Option<Known<T>>,
}

#[derive(Debug)]
struct Known<T> {
    revision: Revision,
    members: Vec<String>,
    value: T,
}

impl<T> Default for ByMembers<T> {
    fn default() -> Self {
        Self { known: None }
    }
}

impl<T> ByMembers<T> {
    /// The value for this bundle and these members.
    pub(crate) fn get(
        &mut self,
        revision: Revision,
        members: Vec<String>,
        work_out: impl FnOnce(&[String]) -> T,
    ) -> &T {
        let known = self.known.take();
        let known = known.filter(|known| known.revision == revision && known.members == members);
        let known = known.unwrap_or_else(|| Known {
            revision,
            value: work_out(&members),
            members,
        });
        &self.known.insert(known).value
    }
}
