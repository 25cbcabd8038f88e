//! Which organisation starts next: start-time fair queueing.

use std::time::Instant;

use crate::ids::OrganisationId;

use super::organisation::OrganisationState;
use super::{AdmissionDecision, AdmissionRequest, AdmissionTable};

/// Seconds of service that a request counts for at least, so that requests
/// estimated at nothing still take turns.
const MIN_COST_SECONDS: f64 = 1e-3;

/// Starts by which an organisation below its part may go ahead of its turn.
const BURST_STARTS: f64 = 2.0;

/// Seconds of service that a request counts for.
fn cost(request: &AdmissionRequest) -> f64 {
    request.service_time.as_secs_f64().max(MIN_COST_SECONDS)
}

impl AdmissionTable {
    /// Starts waiting requests while there is room.
    pub(super) fn start_waiting(&mut self, now: Instant, decisions: &mut Vec<AdmissionDecision>) {
        for state in self.organisations.values_mut() {
            state.bucket.refill(now);
        }
        while self.running.len() < self.capacity as usize {
            let Some((start_tag, organisation)) = self.next_organisation() else {
                return;
            };
            let Some(request) = self.dequeue_first(&organisation) else {
                return;
            };
            let remaining = request.deadline.saturating_duration_since(now);
            let decision = match remaining < request.service_time {
                true => self.refuse_waiting(&request, now),
                false => self.start(&request, start_tag),
            };
            decisions.push(decision);
        }
    }

    /// The organisation whose turn it is among those that wait and whose own
    /// share has room: the one with the earliest virtual start.
    ///
    /// Serving the longest queue or the oldest request first would let one
    /// large organisation hold every slot; one would see the others' waits
    /// grow with its load. Virtual time grows by cost over weight, so each
    /// gets its weight's part of the slots' time.
    ///
    /// That alone lets a burst of a small organisation, still below its part,
    /// wait for several turns of a large one that is far above its own. One
    /// below its part therefore counts as earlier by [`BURST_STARTS`], which
    /// bounds what it can be ahead of the others.
    fn next_organisation(&self) -> Option<(f64, OrganisationId)> {
        let active_shares = self.active_shares();
        self.organisations
            .iter()
            .filter(|(_, state)| state.may_start())
            .filter_map(|(organisation, state)| {
                let (_, first) = state.queue.first_key_value()?;
                let credit = match state.in_flight < self.fair_slots(state, active_shares) {
                    true => BURST_STARTS * cost(first) / state.weight(),
                    false => 0.0,
                };
                Some((self.virtual_start(state) - credit, organisation))
            })
            .reduce(|first, next| if next.0 < first.0 { next } else { first })
            .map(|(start_tag, organisation)| (start_tag, organisation.clone()))
    }

    /// Virtual time at which the organisation's next request would start.
    pub(super) fn virtual_start(&self, state: &OrganisationState) -> f64 {
        state.finish_tag.max(self.virtual_time)
    }

    fn dequeue_first(&mut self, organisation: &OrganisationId) -> Option<AdmissionRequest> {
        let state = self.organisations.get_mut(organisation)?;
        let (_, request) = state.queue.pop_first()?;
        self.waiting.remove(&request.request);
        Some(request)
    }

    /// Starts a request whose organisation may start one, at its `start_tag`.
    ///
    /// Virtual time follows the turns and not the starts that are ahead of
    /// theirs: it would pass organisations that wait, and what they are owed
    /// would be forgotten.
    pub(super) fn start(
        &mut self,
        request: &AdmissionRequest,
        start_tag: f64,
    ) -> AdmissionDecision {
        let virtual_time = self.virtual_time;
        self.virtual_time = virtual_time.max(start_tag);
        if let Some(state) = self.organisations.get_mut(&request.organisation) {
            let start = state.finish_tag.max(virtual_time);
            state.finish_tag = start + cost(request) / state.weight();
            state.bucket.take();
            state.in_flight += 1;
        }
        self.running
            .insert(request.request.clone(), request.organisation.clone());
        AdmissionDecision::Start {
            request: request.request.clone(),
        }
    }
}
