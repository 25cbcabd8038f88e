//! State of one other host.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Instant;

use super::settings::MembershipSettings;
use crate::ids::{HostId, IncarnationId, LogOffset, ZoneId};
use crate::peer::ZoneDigest;
use crate::platform::wire::ListedPhase;
use crate::rendezvous::rendezvous_score;

/// Number of ended incarnations that are remembered for each host.
const ENDED_INCARNATIONS: usize = 8;

/// Reachability of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberPhase {
    /// The host is known by name, and no heartbeat is expected or has been received from
    /// it.
    Unknown,
    /// Heartbeats of the host arrive.
    Live,
    /// The host has been silent for too long.
    Suspected,
}

/// Another host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostMember {
    /// Its name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which it listens to peers.
    pub peer_address: SocketAddr,
    /// Incarnation of the last accepted heartbeat.
    pub incarnation: Option<IncarnationId>,
    /// Offset after the last declaration record that it has applied.
    pub applied_offset: LogOffset,
    /// Whether it accepts no new work.
    pub draining: bool,
    /// Its phase in the platform's list, if it is listed.
    pub listed: Option<ListedPhase>,
    /// Its reachability.
    pub phase: MemberPhase,
    pub(super) was_listed: bool,
    pub(super) known_since: Instant,
    pub(super) last_contact: Option<Instant>,
    pub(super) last_sent: Option<Instant>,
    /// Time of the first call since the host's last heartbeat.
    pub(super) unanswered_since: Option<Instant>,
    pub(super) sequence: u64,
    pub(super) digest: Option<(ZoneDigest, Instant)>,
    /// Rank among the hosts of its zone for calls from other zones.
    pub(super) remote_rank: u64,
    /// Whether this host is the caller in a pair of hosts of one zone.
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

    /// Returns when the silence of the host began, as observed by a process without a
    /// pause since `awake_since`.
    pub(super) fn silent_since(&self, awake_since: Instant) -> Instant {
        self.last_contact
            .unwrap_or(self.known_since)
            .max(awake_since)
    }

    pub(super) fn has_ended(&self, incarnation: IncarnationId) -> bool {
        self.ended.contains(&incarnation)
    }

    /// Replaces the current incarnation and returns it.
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

/// Returns whether `own` is the caller of a pair. The choice is spread evenly over the
/// pairs.
fn calls_first(own: &HostId, other: &HostId) -> bool {
    let (lower, higher) = match own < other {
        true => (own, other),
        false => (other, own),
    };
    let lower_calls = rendezvous_score(0, lower, higher).is_multiple_of(2);
    lower_calls == (own == lower)
}
