//! Requests among the entry hosts for permits to send to targets that limit their rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::BoxFuture;

use crate::entry::peer_exchange::PeerState;
use crate::forward::PermitSource;
use crate::permits::{PermitReply, PermitRequest};

/// Timeout of a request for permits: the links take a few milliseconds, and a host that has
/// used up its CPU quota resumes within 100 ms.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Reply to a request that could not be served. The pause is about the time in which hosts
/// detect which of them are alive.
const UNANSWERED: PermitReply = PermitReply::Withheld {
    retry_after: Duration::from_millis(500),
};

/// Returns a source that requests permits from the host that issues them for a target,
/// which may be this one.
pub(super) fn permit_source(state: Arc<PeerState>) -> PermitSource {
    Arc::new(move |request| state.clone().request_permit(request))
}

impl PeerState {
    /// Issues permits, or requests them from the host that can.
    ///
    /// Hosts of other zones may know only the first host of a target's zone, which then
    /// relays their requests.
    pub(super) fn request_permit(
        self: Arc<Self>,
        request: PermitRequest,
    ) -> BoxFuture<'static, PermitReply> {
        Box::pin(async move {
            let now = Instant::now();
            match self.permit_address(&request, now) {
                Some(address) if address == self.address() => {
                    let share = self.permit_share(&request.zone, now);
                    self.tables().issue_permits(&request, share, now)
                }
                Some(address) if !request.relayed => self.relay(address, request).await,
                _ => UNANSWERED,
            }
        })
    }

    async fn relay(&self, address: SocketAddr, request: PermitRequest) -> PermitReply {
        let Some(handle) = self.handle() else {
            return UNANSWERED;
        };
        let relayed = request.host != *self.host();
        let request = PermitRequest { relayed, ..request };
        match handle.permit(address, request, REPLY_TIMEOUT).await {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!("permit request to {address} failed: {error}");
                UNANSWERED
            }
        }
    }
}
