//! Decides which connections of callers are open.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::collections::FastMap;

/// Id of a caller's connection.
pub type ConnectionId = u64;

/// Time for which a connection may wait for its caller before it makes way for another one.
const MIN_WAIT: Duration = Duration::from_secs(1);

/// How many connections may be open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// All connections.
    pub open: usize,
    /// Those that wait for their callers, each of which may hold an incomplete head.
    pub waiting: usize,
}

/// What becomes of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionDecision {
    /// It is open.
    Opened(ConnectionId),
    /// It is open in place of another one, which has to be closed.
    Replaced {
        /// The new connection.
        opened: ConnectionId,
        /// The connection that has to be closed.
        closed: ConnectionId,
    },
    /// It is closed, since every open connection is in use.
    Refused,
}

/// The open connections of callers, and since when each waits for its caller.
///
/// Answers many callers that stay connected and send nothing, or little of a request: at the
/// limit, the connection that has waited longest for its caller makes way. One whose request
/// is being served is kept.
#[derive(Debug, Clone, Default)]
pub struct ConnectionTable {
    next: ConnectionId,
    /// When each connection began to wait; `None` while its request is served.
    open: FastMap<ConnectionId, Option<Instant>>,
    waiting: BTreeSet<(Instant, ConnectionId)>,
}

impl ConnectionTable {
    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Adds a connection, which waits for its first request, if the limits allow one more.
    pub fn open(&mut self, limits: ConnectionLimits, now: Instant) -> ConnectionDecision {
        let is_full = self.open.len() >= limits.open || self.waiting.len() >= limits.waiting;
        let closed = match is_full {
            false => None,
            true => match self.longest_waiting(now) {
                None => return ConnectionDecision::Refused,
                Some(longest) => Some(longest),
            },
        };
        if let Some(closed) = closed {
            self.close(closed);
        }
        let opened = self.next;
        self.next += 1;
        self.open.insert(opened, Some(now));
        self.waiting.insert((now, opened));
        match closed {
            None => ConnectionDecision::Opened(opened),
            Some(closed) => ConnectionDecision::Replaced { opened, closed },
        }
    }

    fn longest_waiting(&self, now: Instant) -> Option<ConnectionId> {
        let (since, id) = self.waiting.first()?;
        let has_waited = now.saturating_duration_since(*since) >= MIN_WAIT;
        has_waited.then_some(*id)
    }

    /// Records that a connection waits for its caller from now on.
    pub fn observe_wait(&mut self, id: ConnectionId, now: Instant) {
        let Some(state) = self.open.get_mut(&id) else {
            return;
        };
        if let Some(since) = state.replace(now) {
            self.waiting.remove(&(since, id));
        }
        self.waiting.insert((now, id));
    }

    /// Records that a whole request of a connection was read. Returns whether it may be served:
    /// a connection that has made way is about to be closed.
    pub fn observe_request(&mut self, id: ConnectionId) -> bool {
        let Some(state) = self.open.get_mut(&id) else {
            return false;
        };
        if let Some(since) = state.take() {
            self.waiting.remove(&(since, id));
        }
        true
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(Some(since)) = self.open.remove(&id) {
            self.waiting.remove(&(since, id));
        }
    }
}
