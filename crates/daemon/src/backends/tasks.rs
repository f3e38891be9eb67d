//! Background tasks that end with their owner.

use std::future::Future;

use tokio::task::JoinSet;

/// Tasks that are aborted when the group is dropped.
#[derive(Debug, Default)]
pub(crate) struct TaskGroup {
    tasks: JoinSet<()>,
}

impl TaskGroup {
    pub(crate) fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }
}
