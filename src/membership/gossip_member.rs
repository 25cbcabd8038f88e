//! State of one other entry host.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::UsageScope;
use crate::ids::{HostId, HostWeight, IncarnationId, ZoneId};
use crate::peer::{KnownHost, SeenListing};

/// Silence after which a host counts as dead. It spans six report intervals, and exceeds
/// the second for which a host may be throttled when its processor quota is used up.
pub(super) const DEAD_AFTER: Duration = Duration::from_millis(1500);
/// Time for which a host is avoided after the first failed call. A host that restarts is
/// back within a second or two.
const FIRST_SUSPICION: Duration = Duration::from_secs(2);
/// Maximum number of doublings of that time while calls keep failing. A host that others
/// reach but this one does not would otherwise cost a late report at each attempt.
const MAX_SUSPICION_DOUBLINGS: u32 = 3;

/// A host's evidence that a member is live. It is valid while that host is live and does
/// not withdraw it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct MemberWitness {
    host: HostId,
    at: Instant,
}

/// Consecutive failed calls to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct MemberSuspicion {
    until: Instant,
    failures: u32,
}

/// Maximum number of witnesses kept for each member. It exceeds the number of aggregators
/// of a zone.
const MAX_WITNESSES: usize = 16;

/// Last recorded state of a member. A change of it is sent to other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct RecordedState {
    is_live: bool,
    is_direct: bool,
    is_advertised: bool,
}

/// Another entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipMember {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which it listens to peers.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// Its capacity for roles.
    pub weight: HostWeight,
    /// Sequence number of the last view received from it.
    pub(super) sequence: u64,
    /// Last direct contact with this host.
    pub(super) direct_contact: Option<Instant>,
    /// Last contact with any host, as listings report it.
    pub(super) reported_contact: Instant,
    /// Hosts that report the member as live. All of them are kept: with only the last
    /// one, an aggregator that withdraws its evidence would also cancel that of another
    /// one.
    witnesses: Vec<MemberWitness>,
    pub(super) suspicion: Option<MemberSuspicion>,
    /// Time of the last call to it.
    pub(super) last_call: Option<Instant>,
    /// Version of this host's table at the last change of the member.
    pub(super) changed_version: u64,
    /// Version of the member's table up to which its listings were applied.
    pub(super) received_to: u64,
    /// Scope of the view that carried the last listing.
    pub(super) received_scope: UsageScope,
    /// Version of this host's table up to which the member has applied its listings.
    pub(super) acknowledged: SeenListing,
    recorded: RecordedState,
}

impl GossipMember {
    /// Creates a member from its first listing.
    pub(super) fn new(listed: &KnownHost, last_contact: Instant, version: u64) -> Self {
        Self {
            zone: listed.zone.clone(),
            address: listed.address,
            incarnation: listed.incarnation,
            weight: listed.weight,
            sequence: 0,
            direct_contact: None,
            reported_contact: last_contact,
            witnesses: Vec::new(),
            suspicion: None,
            last_call: None,
            changed_version: version,
            received_to: 0,
            received_scope: UsageScope::default(),
            acknowledged: SeenListing::default(),
            recorded: RecordedState::default(),
        }
    }

    /// Returns whether a listing describes the same start of the host.
    pub(super) fn is_same_start(&self, listed: &KnownHost) -> bool {
        (self.incarnation, self.address, self.weight)
            == (listed.incarnation, listed.address, listed.weight)
    }

    /// Returns the last contact with any host.
    pub fn last_contact(&self) -> Instant {
        let witnessed = self.witnesses.iter().map(|witness| witness.at);
        let contacts = witnessed.chain(self.direct_contact);
        contacts.fold(self.reported_contact, Instant::max)
    }

    /// Returns whether the host counts as live.
    pub fn is_live(&self, now: Instant) -> bool {
        now < self.last_contact() + DEAD_AFTER
    }

    /// Returns whether this host has had direct contact with the member within
    /// `DEAD_AFTER`.
    pub(super) fn is_direct(&self, now: Instant) -> bool {
        self.had_contact_within(DEAD_AFTER, now)
    }

    /// Returns whether this host has had direct contact with the member within `limit`.
    pub(super) fn had_contact_within(&self, limit: Duration, now: Instant) -> bool {
        self.direct_contact
            .is_some_and(|last_contact| now < last_contact + limit)
    }

    /// Returns whether the member is avoided because calls to it failed.
    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.suspicion
            .is_some_and(|suspicion| now < suspicion.until)
    }

    /// Records a failed call.
    pub(super) fn suspect(&mut self, now: Instant) {
        let failures = self.suspicion.map_or(0, |suspicion| suspicion.failures);
        let doublings = failures.min(MAX_SUSPICION_DOUBLINGS);
        self.suspicion = Some(MemberSuspicion {
            until: now + FIRST_SUSPICION * 2_u32.pow(doublings),
            failures: failures + 1,
        });
    }

    /// Adds a host as a witness. It will withdraw its evidence when the member falls
    /// silent.
    pub(super) fn add_witness(&mut self, host: &HostId, now: Instant) {
        self.drop_witness(host);
        let max_kept = MAX_WITNESSES - 1;
        let excess = self.witnesses.len().saturating_sub(max_kept);
        // Witnesses are kept in the order of their evidence, so that the first ones are
        // the oldest.
        self.witnesses.drain(..excess);
        self.witnesses.push(MemberWitness {
            host: host.clone(),
            at: now,
        });
    }

    /// Renews the evidence of a witness that sent another view.
    pub(super) fn renew_witness(&mut self, host: &HostId, now: Instant) {
        let mut witnesses = self.witnesses.iter_mut();
        if let Some(witness) = witnesses.find(|witness| witness.host == *host) {
            witness.at = now;
        }
    }

    /// Removes a witness.
    pub(super) fn drop_witness(&mut self, host: &HostId) {
        self.witnesses.retain(|witness| witness.host != *host);
    }

    /// Returns whether the member is recorded as live, on any evidence or by direct
    /// contact alone.
    pub(super) fn is_recorded_live(&self, direct_only: bool) -> bool {
        self.recorded.is_live && (self.recorded.is_direct || !direct_only)
    }

    /// Returns whether the member is advertised to other zones.
    pub(super) fn is_advertised(&self) -> bool {
        self.recorded.is_advertised
    }

    /// Records the current state and returns whether it changed, so that other hosts have
    /// to receive it.
    ///
    /// A member that was once advertised stays advertised. When a whole zone is lost, its
    /// hosts leave the first ranks as they fail, and hosts of other zones that know them
    /// would not learn of their failure.
    pub(super) fn record_state(&mut self, is_advertised: bool, now: Instant) -> bool {
        let is_advertised = is_advertised || self.recorded.is_advertised;
        let state = RecordedState {
            is_live: self.is_live(now),
            is_direct: self.is_direct(now),
            is_advertised,
        };
        std::mem::replace(&mut self.recorded, state) != state
    }
}
