//! Handlers of incoming calls.

use std::fmt;
use std::sync::Arc;

use futures::future::BoxFuture;

use super::message::{
    ClaimQuery, ClaimQueryReply, PeerHeartbeat, PeerReply, RecordsRequest, RelayedRange,
};
use super::view::{FollowReply, FollowRequest, HostView};
use crate::permits::{PermitReply, PermitRequest};

/// Functions that serve the calls of other daemons.
///
/// They run on the RPC thread and must return quickly: while one of them blocks, the
/// daemon neither receives nor makes peer calls.
#[derive(Clone)]
pub struct PeerHandlers {
    /// Applies a heartbeat and returns the host's own.
    pub heartbeat: Arc<dyn Fn(PeerHeartbeat) -> PeerReply + Send + Sync>,
    /// Relays log records.
    pub records: Arc<dyn Fn(RecordsRequest) -> RelayedRange + Send + Sync>,
    /// Returns the outcome of a claimed request; may wait until the request has ended.
    pub claim_outcome: Arc<dyn Fn(ClaimQuery) -> BoxFuture<'static, ClaimQueryReply> + Send + Sync>,
}

impl fmt::Debug for PeerHandlers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PeerHandlers")
            .finish_non_exhaustive()
    }
}

/// Functions that serve the calls of entry hosts on the users' platform.
///
/// Like [`PeerHandlers`], they must return quickly.
#[derive(Clone)]
pub struct EntryHandlers {
    /// Applies a host's view and returns this host's own.
    pub exchange: Arc<dyn Fn(HostView) -> HostView + Send + Sync>,
    /// Relays what is read from the platform's log; waits up to `hold` for updates.
    pub follow: Arc<dyn Fn(FollowRequest) -> BoxFuture<'static, FollowReply> + Send + Sync>,
    /// Grants permits for a target, or relays the request.
    pub permit: Arc<dyn Fn(PermitRequest) -> BoxFuture<'static, PermitReply> + Send + Sync>,
}

/// Set of calls that a listener serves.
#[derive(Clone)]
pub enum ServedCalls {
    /// Calls between daemons that use the project's own interface.
    Daemon(PeerHandlers),
    /// Calls between entry hosts on the users' platform.
    Entry(EntryHandlers),
}

impl From<PeerHandlers> for ServedCalls {
    fn from(handlers: PeerHandlers) -> Self {
        Self::Daemon(handlers)
    }
}

impl From<EntryHandlers> for ServedCalls {
    fn from(handlers: EntryHandlers) -> Self {
        Self::Entry(handlers)
    }
}

impl ServedCalls {
    pub(super) fn daemon(&self) -> capnp::Result<&PeerHandlers> {
        match self {
            Self::Daemon(handlers) => Ok(handlers),
            Self::Entry(_) => Err(not_served()),
        }
    }

    pub(super) fn entry(&self) -> capnp::Result<&EntryHandlers> {
        match self {
            Self::Entry(handlers) => Ok(handlers),
            Self::Daemon(_) => Err(not_served()),
        }
    }
}

fn not_served() -> capnp::Error {
    capnp::Error::unimplemented("this listener does not serve the call".to_owned())
}
