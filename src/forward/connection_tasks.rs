//! The tasks of a listener and its connections, and their end.

use std::time::Instant;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Signals that end the connections of a listener.
#[derive(Debug, Clone, Default)]
pub(super) struct StopSignals {
    /// Cancelled to stop accepting connections and to close those without a request.
    pub(super) shutdown: CancellationToken,
    /// Cancelled to close all connections.
    pub(super) cut: CancellationToken,
}

/// The tasks of a listener and its connections.
#[derive(Debug, Clone, Default)]
pub(super) struct ConnectionTasks {
    tasks: TaskTracker,
    pub(super) stop: StopSignals,
}

impl ConnectionTasks {
    /// Starts a task that ends on the signals of [`Self::stop`].
    pub(super) fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.tasks.spawn(task);
    }

    /// Stops accepting connections, and returns when all have ended, at most at `end`.
    pub(super) async fn shutdown(self, end: Instant) {
        self.stop.shutdown.cancel();
        self.tasks.close();
        let closed = tokio::time::timeout_at(end.into(), self.tasks.wait()).await;
        if closed.is_err() {
            log::warn!(connections = self.tasks.len(); "connections cut by the shutdown");
            self.stop.cut.cancel();
            self.tasks.wait().await;
        }
    }
}
