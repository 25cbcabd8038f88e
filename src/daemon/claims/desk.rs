//! The claim table with the requests of this host that claim.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};

use crate::claims::machine::ClaimMachine;
use crate::claims::record::{ClaimName, ClaimOutcome};
use crate::claims::response::ClaimResponse;
use crate::claims::table::{ClaimHolder, ClaimTable};
use crate::claims::window::ClaimWindow;
use crate::collections::FastMap;
use crate::ids::{RecordId, RequestId};

/// How long an ended request is remembered for hosts that ask about it. Later
/// they find its outcome in the log.
const MEMORY: Duration = Duration::from_secs(10);

/// How a request ended; `None` while it has not.
pub(super) type OutcomeWatch = watch::Receiver<Option<ClaimOutcome>>;

/// All that one host knows about claims.
///
/// Table and machines stand under one lock: a record replayed between a
/// machine's look at the table and its entry here would be missed, and the
/// request would wait until its deadline.
pub(in crate::daemon) struct ClaimDesk {
    pub(super) table: ClaimTable,
    /// Whether the last read of the log succeeded.
    pub(super) log_available: bool,
    pub(super) active: FastMap<RecordId, ActiveClaim>,
    /// Claims by the ids of the records that settle them.
    pub(super) settlements: FastMap<RecordId, RecordId>,
    ended: FastMap<RecordId, EndedClaim>,
    by_end: VecDeque<(Instant, RecordId)>,
}

/// A request that claims, has claimed, or whose claim is not settled.
pub(super) struct ActiveClaim {
    pub(super) machine: ClaimMachine,
    pub(super) name: ClaimName,
    pub(super) request: RequestId,
    pub(super) steps: mpsc::UnboundedSender<ClaimStep>,
    pub(super) outcome: watch::Sender<Option<ClaimOutcome>>,
    /// Whether its withdrawal was noted.
    pub(super) withdrawn: bool,
    /// Whether it was noted that another claim holds the key.
    pub(super) lost: bool,
}

struct EndedClaim {
    name: ClaimName,
    request: RequestId,
    outcome: OutcomeWatch,
}

/// What the request's task is to do.
#[derive(Debug)]
pub(super) enum ClaimStep {
    /// The claim won.
    Dispatch,
    /// Ask the holder of the key.
    Ask(ClaimHolder),
    /// Answer the caller.
    Answer(ClaimResponse),
}

impl ClaimDesk {
    pub(in crate::daemon) fn new(window: ClaimWindow) -> Self {
        Self {
            table: ClaimTable::new(window),
            log_available: false,
            active: FastMap::default(),
            settlements: FastMap::default(),
            ended: FastMap::default(),
            by_end: VecDeque::new(),
        }
    }

    pub(super) fn insert(&mut self, claim: ActiveClaim) {
        let id = claim.machine.claim_id().clone();
        let settlement = claim.machine.settlement_id();
        self.settlements.insert(settlement, id.clone());
        self.active.insert(id, claim);
    }

    /// Moves a claim with nothing left to do from the active to the ended.
    pub(super) fn retire(&mut self, id: &RecordId, now: Instant) {
        let is_done = |claim: &ActiveClaim| claim.machine.is_done();
        if !self.active.get(id).is_some_and(is_done) {
            return;
        }
        if let Some(claim) = self.active.remove(id) {
            self.settlements.remove(&claim.machine.settlement_id());
            let ended = EndedClaim {
                name: claim.name,
                request: claim.request,
                outcome: claim.outcome.subscribe(),
            };
            self.ended.insert(id.clone(), ended);
            self.by_end.push_back((now, id.clone()));
        }
    }

    /// Forgets what ended long ago.
    pub(super) fn forget(&mut self, now: Instant) {
        while let Some((at, _)) = self.by_end.front() {
            if *at + MEMORY > now {
                return;
            }
            if let Some((_, id)) = self.by_end.pop_front() {
                self.ended.remove(&id);
            }
        }
    }

    /// The end of a request of this host, by its claim.
    pub(super) fn outcome_of(&self, claim: &RecordId) -> Option<OutcomeWatch> {
        let active = self.active.get(claim);
        let ended = || self.ended.get(claim).map(|ended| ended.outcome.clone());
        active
            .map(|active| active.outcome.subscribe())
            .or_else(ended)
    }

    /// The end of a request of this host, by its key and its id.
    pub(super) fn outcome_of_request(
        &self,
        name: &ClaimName,
        request: &RequestId,
    ) -> Option<OutcomeWatch> {
        let active = self.active.values();
        let ended = self.ended.values();
        active
            .filter(|claim| claim.name == *name && claim.request == *request)
            .map(|claim| claim.outcome.subscribe())
            .chain(
                ended
                    .filter(|claim| claim.name == *name && claim.request == *request)
                    .map(|claim| claim.outcome.clone()),
            )
            .next()
    }

    /// How a claim of this host ended, though the log may not show it yet.
    pub(super) fn own_end(&self, claim: &RecordId) -> Option<ClaimOutcome> {
        self.outcome_of(claim)?.borrow().clone()
    }

    /// Claims whose request has not ended, or whose end the log does not show.
    pub(super) fn unsettled(&self) -> usize {
        self.active.len()
    }
}
