//! What is known of one other entry host.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::UseScope;
use crate::ids::{HostId, HostWeight, IncarnationId, ZoneId};
use crate::peer::{KnownHost, SeenListing};

/// Silence after which a host counts as dead: six pauses between reports, and
/// longer than the second that a host may be held up when its processor's share
/// is used up.
pub(super) const DEAD_AFTER: Duration = Duration::from_millis(1500);
/// How long a host to which a call failed is passed over at first. A host that
/// restarts is back within a second or two.
const FIRST_SUSPICION: Duration = Duration::from_secs(2);
/// Doublings of that time while calls go on failing: a host that hears others
/// but is not reached by this one would cost a late report each time.
const MAX_SUSPICION_DOUBLINGS: u32 = 3;

/// Word of another host that a member lives, which holds for as long as that
/// host is heard and does not take it back.
#[derive(Debug, Clone, PartialEq, Eq)]
struct MemberWitness {
    host: HostId,
    at: Instant,
}

/// Failed calls to a member in a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct MemberSuspicion {
    until: Instant,
    failures: u32,
}

/// Hosts whose word on a member is kept: more than a zone has speakers.
const MAX_WITNESSES: usize = 16;

/// How a member stood when that was last noted; others hear of changes of it.
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
    /// What it has for duties.
    pub weight: HostWeight,
    /// Sequence number of its last view.
    pub(super) sequence: u64,
    /// When it was last heard by this host itself.
    pub(super) direct_contact: Option<Instant>,
    /// When it was last heard by anyone, as lists told.
    pub(super) reported_contact: Instant,
    /// Hosts that say that it lives. Several may at once: with the last one only,
    /// a speaker that takes its word back would undo that of another one.
    witnesses: Vec<MemberWitness>,
    pub(super) suspicion: Option<MemberSuspicion>,
    /// When it was last called.
    pub(super) last_call: Option<Instant>,
    /// Version of this host's table at its last change.
    pub(super) changed_version: u64,
    /// Version of its own table up to which its lists were taken in.
    pub(super) received_to: u64,
    /// Scope of the view that held the last one.
    pub(super) received_scope: UseScope,
    /// Up to where it has taken in the lists of this host.
    pub(super) acknowledged: SeenListing,
    recorded: RecordedState,
}

impl GossipMember {
    /// A member as listed, heard of for the first time.
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
            received_scope: UseScope::default(),
            acknowledged: SeenListing::default(),
            recorded: RecordedState::default(),
        }
    }

    /// Whether the member is the start of the host that is listed.
    pub(super) fn is_same_start(&self, listed: &KnownHost) -> bool {
        (self.incarnation, self.address, self.weight)
            == (listed.incarnation, listed.address, listed.weight)
    }

    /// When it was last heard, by whomever.
    pub fn last_contact(&self) -> Instant {
        let witnessed = self.witnesses.iter().map(|witness| witness.at);
        let contacts = witnessed.chain(self.direct_contact);
        contacts.fold(self.reported_contact, Instant::max)
    }

    /// Whether it counts as live.
    pub fn is_live(&self, now: Instant) -> bool {
        now < self.last_contact() + DEAD_AFTER
    }

    /// Whether this host has heard it itself lately.
    pub(super) fn is_direct(&self, now: Instant) -> bool {
        self.had_contact_within(DEAD_AFTER, now)
    }

    /// Whether this host has heard it itself within a time.
    pub(super) fn had_contact_within(&self, limit: Duration, now: Instant) -> bool {
        self.direct_contact
            .is_some_and(|last_contact| now < last_contact + limit)
    }

    /// Whether calls to it failed a moment ago.
    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.suspicion
            .is_some_and(|suspicion| now < suspicion.until)
    }

    /// A call to it failed.
    pub(super) fn suspect(&mut self, now: Instant) {
        let failures = self.suspicion.map_or(0, |suspicion| suspicion.failures);
        let doublings = failures.min(MAX_SUSPICION_DOUBLINGS);
        self.suspicion = Some(MemberSuspicion {
            until: now + FIRST_SUSPICION * 2_u32.pow(doublings),
            failures: failures + 1,
        });
    }

    /// A host says that it lives, and will say when it does no more.
    pub(super) fn add_witness(&mut self, host: &HostId, now: Instant) {
        self.drop_witness(host);
        let max_kept = MAX_WITNESSES - 1;
        let excess = self.witnesses.len().saturating_sub(max_kept);
        // In the order in which they were given: the first ones are oldest.
        self.witnesses.drain(..excess);
        self.witnesses.push(MemberWitness {
            host: host.clone(),
            at: now,
        });
    }

    /// A host that vouches for it was heard again.
    pub(super) fn renew_witness(&mut self, host: &HostId, now: Instant) {
        let mut witnesses = self.witnesses.iter_mut();
        if let Some(witness) = witnesses.find(|witness| witness.host == *host) {
            witness.at = now;
        }
    }

    /// A host no longer vouches for it.
    pub(super) fn drop_witness(&mut self, host: &HostId) {
        self.witnesses.retain(|witness| witness.host != *host);
    }

    /// Whether it was live when that was last noted, by the word of anybody or as
    /// heard by this host itself.
    pub(super) fn is_recorded_live(&self, by_itself: bool) -> bool {
        self.recorded.is_live && (self.recorded.is_direct || !by_itself)
    }

    /// Whether hosts of other zones hear of it.
    pub(super) fn is_advertised(&self) -> bool {
        self.recorded.is_advertised
    }

    /// Takes down how it stands now; says whether others have to hear of it.
    ///
    /// Who was ever told of elsewhere stays so: hosts of a zone that is lost as a
    /// whole fall out of its first ones as they die, and whoever had heard of
    /// them would not hear of that.
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
