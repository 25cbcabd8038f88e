//! Start-time fair queueing between organisations.

use std::time::Instant;

use crate::ids::OrganisationId;

use super::organisation::OrganisationState;
use super::{AdmissionDecision, AdmissionRequest, AdmissionTable};

/// Minimum cost of a request in seconds of service, so that organisations with requests
/// estimated at zero still take turns.
const MIN_COST_SECONDS: f64 = 1e-3;

/// Number of starts by which an organisation below its fair slots may run ahead of its
/// virtual start.
const BURST_STARTS: f64 = 2.0;

/// Returns the cost of a request in seconds of service.
fn cost(request: &AdmissionRequest) -> f64 {
    request.service_time.as_secs_f64().max(MIN_COST_SECONDS)
}

impl AdmissionTable {
    /// Starts waiting requests while slots are free.
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

    /// Returns the organisation with the earliest start tag among those that have waiting
    /// requests and room in their own share.
    ///
    /// Serving the longest queue or the oldest request first would let one large
    /// organisation hold every slot, and the waits of the others would grow with its
    /// load. Virtual time grows by cost over weight, so each organisation gets its
    /// weighted part of the slots' time.
    ///
    /// That alone would let a burst of a small organisation below its fair slots wait for
    /// several starts of a large one far above its own. An organisation below its fair
    /// slots is therefore moved ahead by [`BURST_STARTS`], which bounds its lead over the
    /// others.
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

    /// Returns the virtual time at which the organisation's next request would start.
    pub(super) fn virtual_start(&self, state: &OrganisationState) -> f64 {
        state.finish_tag.max(self.virtual_time)
    }

    fn dequeue_first(&mut self, organisation: &OrganisationId) -> Option<AdmissionRequest> {
        let state = self.organisations.get_mut(organisation)?;
        let (_, request) = state.queue.pop_first()?;
        self.waiting.remove(&request.request);
        Some(request)
    }

    /// Starts a request whose organisation may start one, with the given `start_tag`.
    ///
    /// Virtual time advances to `start_tag`, which includes the burst credit, and not to
    /// the virtual start without it. Otherwise it would pass organisations with waiting
    /// requests, and the service that they are owed would be lost.
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
