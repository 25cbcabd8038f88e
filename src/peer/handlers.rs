//! Answers to incoming calls.

use std::fmt;
use std::sync::Arc;

use futures::future::BoxFuture;

use super::message::{
    ClaimOutcome, ClaimQuery, PeerHeartbeat, PeerReply, RecordsRequest, RelayedRange,
};
use super::view::{FollowReply, FollowRequest, HostView};
use crate::permits::{PermitReply, PermitRequest};

/// Functions that answer incoming calls.
///
/// They run on the thread of the RPC library and so must return quickly:
/// while one of them blocks, no peer is heard and none is called.
#[derive(Clone)]
pub struct PeerHandlers {
    /// Takes in a heartbeat and answers with the host's own.
    pub heartbeat: Arc<dyn Fn(PeerHeartbeat) -> PeerReply + Send + Sync>,
    /// Passes on log records.
    pub records: Arc<dyn Fn(RecordsRequest) -> RelayedRange + Send + Sync>,
    /// Tells what became of a claimed request; may wait for its end.
    pub claim_outcome: Arc<dyn Fn(ClaimQuery) -> BoxFuture<'static, ClaimOutcome> + Send + Sync>,
}

impl fmt::Debug for PeerHandlers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PeerHandlers")
            .finish_non_exhaustive()
    }
}

/// Functions that answer the calls of entry hosts on the users' platform.
///
/// Like [`PeerHandlers`], they must return quickly.
#[derive(Clone)]
pub struct EntryHandlers {
    /// Takes in a host's view and answers with this host's own.
    pub exchange: Arc<dyn Fn(HostView) -> HostView + Send + Sync>,
    /// Passes on what is read from the platform's log; waits a little for news.
    pub follow: Arc<dyn Fn(FollowRequest) -> BoxFuture<'static, FollowReply> + Send + Sync>,
    /// Hands out permits for a target, or passes the question on.
    pub permit: Arc<dyn Fn(PermitRequest) -> BoxFuture<'static, PermitReply> + Send + Sync>,
}

/// Which calls a listener answers.
#[derive(Clone)]
pub enum ServedCalls {
    /// Those between daemons that speak the project's own interface.
    Daemon(PeerHandlers),
    /// Those between entry hosts on the users' platform.
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
    capnp::Error::unimplemented("this listener does not answer the call".to_owned())
}
