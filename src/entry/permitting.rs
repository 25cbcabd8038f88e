//! Permits to send to targets that limit their rate, among the entry hosts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::entry::peering::PeerDesk;
use crate::forward::PermitSource;
use crate::peer::PeerHandle;
use crate::permits::{PermitAnswer, PermitQuestion};

/// How long another host may take to answer: the links take a few milliseconds, and a
/// host whose share of the processor is used up comes back within 100.
const ANSWER_LIMIT: Duration = Duration::from_millis(150);
/// Pause after a question that was not answered: about the time in which hosts find
/// out who lives.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(500);

/// Asks the host that hands out the permits for a target, which may be this one.
pub(super) fn permit_source(desk: Arc<PeerDesk>, handle: PeerHandle) -> PermitSource {
    Arc::new(move |question| Box::pin(ask(desk.clone(), handle.clone(), question)))
}

async fn ask(desk: Arc<PeerDesk>, handle: PeerHandle, question: PermitQuestion) -> PermitAnswer {
    let withheld = PermitAnswer::Withheld {
        retry_after: UNANSWERED_PAUSE,
    };
    let Some(address) = desk.permit_address(&question, Instant::now()) else {
        return withheld;
    };
    if address == desk.address() {
        return desk.issue_permits(&question, Instant::now());
    }
    match handle.permit(address, question, ANSWER_LIMIT).await {
        Ok(answer) => answer,
        Err(error) => {
            log::debug!("no permits from {address}: {error}");
            withheld
        }
    }
}

impl PeerDesk {
    /// Answers a host that asks for permits; one that asks the wrong host may ask again
    /// once it knows better.
    pub(super) fn issue_permits(&self, question: &PermitQuestion, now: Instant) -> PermitAnswer {
        if self.permit_address(question, now) != Some(self.address()) {
            return PermitAnswer::Withheld {
                retry_after: UNANSWERED_PAUSE,
            };
        }
        let part = self.permit_part(&question.zone, now);
        self.tables().issue_permits(question, part, now)
    }
}
