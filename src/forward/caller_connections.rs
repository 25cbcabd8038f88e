//! The open connections of callers, each with a signal to make way for another one.

use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::admission::{ConnectionDecision, ConnectionId, ConnectionLimits, ConnectionTable};
use crate::collections::FastMap;

/// The open connections of callers.
#[derive(Debug, Clone, Default)]
pub(super) struct CallerConnections {
    state: Arc<Mutex<ConnectionsState>>,
}

#[derive(Debug, Default)]
struct ConnectionsState {
    table: ConnectionTable,
    /// Cancelled when the connection has to make way.
    replaced: FastMap<ConnectionId, CancellationToken>,
}

/// One open connection; dropping it makes room for another one.
#[derive(Debug)]
pub(super) struct CallerConnection {
    connections: CallerConnections,
    id: ConnectionId,
    /// Cancelled when the connection has to make way.
    pub(super) replaced: CancellationToken,
}

impl CallerConnections {
    /// Adds a connection, if the limits allow one more; tells another one to make way if they
    /// do not.
    pub(super) fn open(&self, limits: ConnectionLimits, now: Instant) -> Option<CallerConnection> {
        let mut state = self.state.lock();
        let id = match state.table.open(limits, now) {
            ConnectionDecision::Opened(id) => id,
            ConnectionDecision::Replaced { opened, closed } => {
                if let Some(replaced) = state.replaced.remove(&closed) {
                    replaced.cancel();
                }
                opened
            }
            ConnectionDecision::Refused => return None,
        };
        let replaced = CancellationToken::new();
        state.replaced.insert(id, replaced.clone());
        Some(CallerConnection {
            connections: self.clone(),
            id,
            replaced,
        })
    }

    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        self.state.lock().table.len()
    }
}

impl CallerConnection {
    /// Records that the connection waits for its caller.
    pub(super) fn observe_wait(&self, now: Instant) {
        self.connections
            .state
            .lock()
            .table
            .observe_wait(self.id, now);
    }

    /// Records that a whole request was read; returns whether it may be served.
    pub(super) fn observe_request(&self) -> bool {
        self.connections.state.lock().table.observe_request(self.id)
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let mut state = self.connections.state.lock();
        state.table.close(self.id);
        state.replaced.remove(&self.id);
    }
}
