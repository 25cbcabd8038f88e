//! Answers to incoming calls.

use std::fmt;
use std::sync::Arc;

use futures::future::BoxFuture;

use super::message::{
    ClaimOutcome, ClaimQuestion, PeerHeartbeat, PeerReply, RecordsQuestion, RelayedRange,
};

/// Functions that answer incoming calls.
///
/// They run on the thread of the RPC library and so must return quickly:
/// while one of them blocks, no peer is heard and none is called.
#[derive(Clone)]
pub struct PeerHandlers {
    /// Takes in a heartbeat and answers with the host's own.
    pub heartbeat: Arc<dyn Fn(PeerHeartbeat) -> PeerReply + Send + Sync>,
    /// Passes on log records.
    pub records: Arc<dyn Fn(RecordsQuestion) -> RelayedRange + Send + Sync>,
    /// Tells what became of a claimed request; may wait for its end.
    pub claim_outcome: Arc<dyn Fn(ClaimQuestion) -> BoxFuture<'static, ClaimOutcome> + Send + Sync>,
}

impl fmt::Debug for PeerHandlers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PeerHandlers")
            .finish_non_exhaustive()
    }
}
