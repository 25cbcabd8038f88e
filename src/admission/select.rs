//! Which organisation starts next: start-time fair queueing.

use std::time::Instant;

use crate::ids::OrganisationId;

use super::organisation::OrganisationState;
use super::{AdmissionDecision, AdmissionRequest, AdmissionTable};

/// Seconds of service that a request counts for at least, so that requests
/// estimated at nothing still take turns.
const SMALLEST_COST: f64 = 1e-3;

impl AdmissionTable {
    /// Starts waiting requests while there is room.
    pub(super) fn start_waiting(&mut self, now: Instant, decisions: &mut Vec<AdmissionDecision>) {
        for state in self.organisations.values_mut() {
            state.bucket.refill(now);
        }
        while self.running.len() < self.capacity as usize {
            let Some(organisation) = self.next_organisation() else {
                return;
            };
            let Some(request) = self.take_first(&organisation) else {
                return;
            };
            let left = request.deadline.saturating_duration_since(now);
            let decision = match left < request.service_time {
                true => self.refuse_waiting(&request, now),
                false => self.start(&request),
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
    fn next_organisation(&self) -> Option<OrganisationId> {
        self.organisations
            .iter()
            .filter(|(_, state)| !state.queue.is_empty() && state.may_start())
            .map(|(organisation, state)| (self.virtual_start(state), organisation))
            .reduce(|first, next| if next.0 < first.0 { next } else { first })
            .map(|(_, organisation)| organisation.clone())
    }

    /// Virtual time at which the organisation's next request would start.
    fn virtual_start(&self, state: &OrganisationState) -> f64 {
        state.served_until.max(self.virtual_time)
    }

    fn take_first(&mut self, organisation: &OrganisationId) -> Option<AdmissionRequest> {
        let state = self.organisations.get_mut(organisation)?;
        let (_, request) = state.queue.pop_first()?;
        self.waiting.remove(&request.request);
        Some(request)
    }

    /// Starts a request whose organisation may start one.
    pub(super) fn start(&mut self, request: &AdmissionRequest) -> AdmissionDecision {
        let virtual_time = self.virtual_time;
        if let Some(state) = self.organisations.get_mut(&request.organisation) {
            let start = state.served_until.max(virtual_time);
            let cost = request.service_time.as_secs_f64().max(SMALLEST_COST);
            state.served_until = start + cost / state.weight();
            state.bucket.take();
            state.in_flight += 1;
            self.virtual_time = start;
        }
        self.running
            .insert(request.request.clone(), request.organisation.clone());
        AdmissionDecision::Start {
            request: request.request.clone(),
        }
    }
}
