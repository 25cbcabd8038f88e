//! Permits to send to targets that limit their rate, among the entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::BoxFuture;

use crate::entry::peering::PeerState;
use crate::forward::PermitSource;
use crate::permits::{PermitAnswer, PermitQuestion};

/// How long another host may take to answer: the links take a few milliseconds, and a
/// host whose share of the processor is used up comes back within 100.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Pause after a question that was not answered: about the time in which hosts find
/// out who lives.
const UNANSWERED: PermitAnswer = PermitAnswer::Withheld {
    retry_after: Duration::from_millis(500),
};

/// Asks the host that hands out the permits for a target, which may be this one.
pub(super) fn permit_source(state: Arc<PeerState>) -> PermitSource {
    Arc::new(move |request| state.clone().request_permit(request))
}

impl PeerState {
    /// Answers a question for permits, or asks the host that can.
    ///
    /// Hosts of other zones may know the first host of a target's zone alone, which then
    /// passes their questions on.
    pub(super) fn request_permit(
        self: Arc<Self>,
        request: PermitQuestion,
    ) -> BoxFuture<'static, PermitAnswer> {
        Box::pin(async move {
            let now = Instant::now();
            match self.permit_address(&request, now) {
                Some(address) if address == self.address() => {
                    let part = self.permit_part(&request.zone, now);
                    self.tables().issue_permits(&request, part, now)
                }
                Some(address) if !request.relayed => self.relay(address, request).await,
                _ => UNANSWERED,
            }
        })
    }

    async fn relay(&self, address: SocketAddr, request: PermitQuestion) -> PermitAnswer {
        let Some(handle) = self.handle() else {
            return UNANSWERED;
        };
        let relayed = request.host != *self.host();
        let request = PermitQuestion { relayed, ..request };
        match handle.permit(address, request, REPLY_TIMEOUT).await {
            Ok(answer) => answer,
            Err(error) => {
                log::debug!("no permits from {address}: {error}");
                UNANSWERED
            }
        }
    }
}
