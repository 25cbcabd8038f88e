//! What is known of one other host.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Instant;

use super::settings::MembershipSettings;
use crate::ids::{HostId, IncarnationId, LogOffset, ZoneId};
use crate::peer::ZoneDigest;
use crate::platform::wire::ListedPhase;
use crate::rendezvous::rendezvous_score;

/// Ended incarnations that are remembered for each host.
const ENDED_INCARNATIONS: usize = 8;

/// Whether a host can be counted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberPhase {
    /// Known by name; nothing has been heard from it.
    Unknown,
    /// Heard lately.
    Live,
    /// Silent for too long.
    Suspected,
}

/// One other host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostMember {
    /// Its name.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where it listens to peers.
    pub peer_address: SocketAddr,
    /// Incarnation last heard.
    pub incarnation: Option<IncarnationId>,
    /// Offset after its last applied declaration record.
    pub applied_offset: LogOffset,
    /// Whether it accepts nothing new.
    pub draining: bool,
    /// Its phase in the platform's list, if it stands there.
    pub listed: Option<ListedPhase>,
    /// Whether it can be counted on.
    pub phase: MemberPhase,
    pub(super) was_listed: bool,
    pub(super) known_since: Instant,
    pub(super) last_contact: Option<Instant>,
    pub(super) last_sent: Option<Instant>,
    /// First call since the last word from the host.
    pub(super) unanswered_since: Option<Instant>,
    pub(super) sequence: u64,
    pub(super) digest: Option<(ZoneDigest, Instant)>,
    /// Rank among the hosts of its zone for being called from another zone.
    pub(super) remote_rank: u64,
    /// Whether this host, and not the other, calls in a pair of one zone.
    pub(super) is_called: bool,
    ended: VecDeque<IncarnationId>,
}

impl HostMember {
    pub(super) fn new(
        settings: &MembershipSettings,
        host: HostId,
        zone: ZoneId,
        peer_address: SocketAddr,
        now: Instant,
    ) -> Self {
        Self {
            remote_rank: rendezvous_score(settings.seed, &settings.host, &host),
            is_called: calls_first(&settings.host, &host),
            host,
            zone,
            peer_address,
            incarnation: None,
            applied_offset: 0,
            draining: false,
            listed: None,
            phase: MemberPhase::Unknown,
            was_listed: false,
            known_since: now,
            last_contact: None,
            last_sent: None,
            unanswered_since: None,
            sequence: 0,
            digest: None,
            ended: VecDeque::new(),
        }
    }

    /// When the silence of this host began, for a listener awake since `awake_since`.
    pub(super) fn silent_since(&self, awake_since: Instant) -> Instant {
        self.last_contact
            .unwrap_or(self.known_since)
            .max(awake_since)
    }

    pub(super) fn has_ended(&self, incarnation: IncarnationId) -> bool {
        self.ended.contains(&incarnation)
    }

    /// Takes a new incarnation in place of the current one.
    pub(super) fn replace_incarnation(
        &mut self,
        incarnation: IncarnationId,
    ) -> Option<IncarnationId> {
        let before = self.incarnation.replace(incarnation);
        self.sequence = 0;
        self.digest = None;
        if let Some(before) = before {
            self.ended.push_back(before);
        }
        if self.ended.len() > ENDED_INCARNATIONS {
            self.ended.pop_front();
        }
        before
    }
}

/// Which of the two hosts of a pair calls, spread evenly over the pairs.
fn calls_first(own: &HostId, other: &HostId) -> bool {
    let (lower, higher) = match own < other {
        true => (own, other),
        false => (other, own),
    };
    let lower_calls = rendezvous_score(0, lower, higher).is_multiple_of(2);
    lower_calls == (own == lower)
}
