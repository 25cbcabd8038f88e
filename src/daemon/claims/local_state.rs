//! The claim table and this host's claiming requests.

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

/// How long the outcome of an ended request is kept for hosts that query it. After that
/// they find it in the log.
const ENDED_CLAIM_RETENTION: Duration = Duration::from_secs(10);

/// Receiver of a request's outcome, which is `None` until the request has ended.
pub(super) type OutcomeReceiver = watch::Receiver<Option<ClaimOutcome>>;

/// All claim state of one host.
///
/// The table and the state machines share one lock: otherwise a record replayed after a
/// machine has read the table and before it is inserted here would be missed, and the
/// request would wait until its deadline.
pub(in crate::daemon) struct ClaimState {
    pub(super) table: ClaimTable,
    /// Whether the last read of the log succeeded.
    pub(super) log_available: bool,
    pub(super) active: FastMap<RecordId, ActiveClaim>,
    /// Claims by the ids of the records that settle them.
    pub(super) settlements: FastMap<RecordId, RecordId>,
    ended: FastMap<RecordId, EndedClaim>,
    ended_order: VecDeque<(Instant, RecordId)>,
}

/// A request with a claim that is not settled yet.
pub(super) struct ActiveClaim {
    pub(super) machine: ClaimMachine,
    pub(super) name: ClaimName,
    pub(super) request: RequestId,
    pub(super) steps: mpsc::UnboundedSender<ClaimStep>,
    pub(super) outcome: watch::Sender<Option<ClaimOutcome>>,
    /// Whether the withdrawal has been recorded.
    pub(super) withdrawal_recorded: bool,
    /// Whether it has been recorded that another claim holds the key.
    pub(super) loss_recorded: bool,
}

struct EndedClaim {
    name: ClaimName,
    request: RequestId,
    outcome: OutcomeReceiver,
}

/// Next step of the request's task.
#[derive(Debug)]
pub(super) enum ClaimStep {
    /// Dispatch the request: its claim has won.
    Dispatch,
    /// Query the holder of the key.
    QueryHolder(ClaimHolder),
    /// Respond to the caller.
    Respond(ClaimResponse),
}

impl ClaimState {
    pub(in crate::daemon) fn new(window: ClaimWindow) -> Self {
        Self {
            table: ClaimTable::new(window),
            log_available: false,
            active: FastMap::default(),
            settlements: FastMap::default(),
            ended: FastMap::default(),
            ended_order: VecDeque::new(),
        }
    }

    pub(super) fn insert(&mut self, claim: ActiveClaim) {
        let id = claim.machine.claim_id().clone();
        let settlement = claim.machine.settlement_id();
        self.settlements.insert(settlement, id.clone());
        self.active.insert(id, claim);
    }

    /// Moves a claim whose state machine is done from the active to the ended ones.
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
            self.ended_order.push_back((now, id.clone()));
        }
    }

    /// Removes ended claims that are older than [`ENDED_CLAIM_RETENTION`].
    pub(super) fn prune_ended(&mut self, now: Instant) {
        while let Some((at, _)) = self.ended_order.front() {
            if *at + ENDED_CLAIM_RETENTION > now {
                return;
            }
            if let Some((_, id)) = self.ended_order.pop_front() {
                self.ended.remove(&id);
            }
        }
    }

    /// Returns a receiver for the outcome of a request of this host, by its claim.
    pub(super) fn outcome_of(&self, claim: &RecordId) -> Option<OutcomeReceiver> {
        let active = self.active.get(claim);
        let ended = || self.ended.get(claim).map(|ended| ended.outcome.clone());
        active
            .map(|active| active.outcome.subscribe())
            .or_else(ended)
    }

    /// Returns a receiver for the outcome of a request of this host, by its key and its
    /// id.
    pub(super) fn outcome_of_request(
        &self,
        name: &ClaimName,
        request: &RequestId,
    ) -> Option<OutcomeReceiver> {
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

    /// Returns the outcome of a claim of this host, even if the log does not show it yet.
    pub(super) fn local_outcome(&self, claim: &RecordId) -> Option<ClaimOutcome> {
        self.outcome_of(claim)?.borrow().clone()
    }

    /// Returns the number of claims whose request has not ended or whose outcome is not
    /// in the log yet.
    pub(super) fn unsettled(&self) -> usize {
        self.active.len()
    }
}
