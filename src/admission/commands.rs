//! Commands that change the table: shares, arrivals, releases and ticks.

use std::cmp::Reverse;
use std::time::Instant;

use crate::ids::{OrganisationId, RequestId};
use crate::reason::RefusalReason;

use super::estimate::{ARRIVAL_MARGIN, WAITING_MARGIN};
use super::organisation::{OrganisationState, QueuePosition};
use super::queries::RATE_WINDOWS;
use super::table::QueueEntry;
use super::{AdmissionDecision, AdmissionRequest, AdmissionTable, ReleaseCause, ShareLimit};

/// Outcome of the arrival checks for a request.
enum ArrivalVerdict {
    Start,
    Wait,
    Refuse(RefusalReason),
}

impl AdmissionTable {
    /// Sets what this host may use of an organisation's capacity. Requests in flight
    /// above a lowered share continue, and no new ones start until they end. Waiting
    /// requests start or are refused at the next `tick`.
    pub fn set_share(&mut self, organisation: OrganisationId, limit: ShareLimit, now: Instant) {
        let settings = &self.settings;
        let state = self
            .organisations
            .entry(organisation)
            .or_insert_with(|| OrganisationState::new(limit, settings, now));
        if state.limit != limit {
            let had_share = !state.has_no_share();
            state.bucket.set_rate(limit.requests_per_minute, now);
            state.limit = limit;
            state.drain.reset();
            state.shareless_since = (had_share && state.has_no_share()).then_some(now);
        }
        state.is_removed = false;
    }

    /// Removes an organisation that is no longer declared. None of its requests start any
    /// more, and its waiting requests are refused at the next `tick`.
    pub fn remove_share(&mut self, organisation: &OrganisationId, now: Instant) {
        if !self.organisations.contains_key(organisation) {
            return;
        }
        self.set_share(organisation.clone(), ShareLimit::default(), now);
        if let Some(state) = self.organisations.get_mut(organisation) {
            state.is_removed = true;
        }
    }

    /// Sets how many requests the targets can serve at once.
    pub fn set_capacity(&mut self, concurrent: u32) {
        self.capacity = concurrent;
    }

    /// Decides about a request that has just arrived.
    ///
    /// A request id that already runs or waits is refused as malformed: otherwise,
    /// releasing one of the two requests would free the slot of the other.
    pub fn admit(&mut self, request: AdmissionRequest, now: Instant) -> AdmissionDecision {
        let window = self.settings.demand_window;
        if let Some(state) = self.organisations.get_mut(&request.organisation) {
            state.arrivals.count(window, now);
            state.arrivals_long.count(window * RATE_WINDOWS, now);
        }
        let position = (Reverse(request.priority), self.arrivals);
        self.arrivals += 1;
        match self.decide_arrival(&request, position, now) {
            ArrivalVerdict::Start => {
                let state = self.organisations.get(&request.organisation);
                let start_tag = state.map_or(0.0, |state| self.virtual_start(state));
                self.start(&request, start_tag)
            }
            ArrivalVerdict::Wait => self.enqueue(request, position),
            ArrivalVerdict::Refuse(reason) => self.refuse(&request, reason, now),
        }
    }

    fn decide_arrival(
        &mut self,
        request: &AdmissionRequest,
        position: QueuePosition,
        now: Instant,
    ) -> ArrivalVerdict {
        if let Some(state) = self.organisations.get_mut(&request.organisation) {
            state.bucket.refill(now);
            state.record_shareless_arrival(self.settings.share_grace, now);
        }
        let Some(state) = self.organisations.get(&request.organisation) else {
            return ArrivalVerdict::Refuse(RefusalReason::CapacityUsedUp);
        };
        let ahead = state.queue.range(..position).count();
        let has_slot = self.running.len() < self.capacity as usize;
        let starts_now = has_slot && state.queue.is_empty() && state.may_start();
        let is_known = self.running.contains_key(&request.request)
            || self.waiting.contains_key(&request.request);
        let is_full = self.is_full(state);
        let in_time = match starts_now {
            true => request.deadline.saturating_duration_since(now) >= request.service_time,
            false => self
                .wait_estimate(state, self.active_shares(), now)
                .is_reachable(state, request, ahead, ARRIVAL_MARGIN, now),
        };
        match () {
            () if is_known => ArrivalVerdict::Refuse(RefusalReason::Malformed),
            () if now >= request.deadline => ArrivalVerdict::Refuse(RefusalReason::DeadlinePassed),
            () if state.awaits_share(self.settings.share_grace, now) && !is_full => {
                ArrivalVerdict::Wait
            }
            () if state.has_no_share() => ArrivalVerdict::Refuse(RefusalReason::CapacityUsedUp),
            () if !in_time => ArrivalVerdict::Refuse(RefusalReason::DeadlineUnreachable),
            () if starts_now => ArrivalVerdict::Start,
            // The host has a free slot, so the share is what limits the organisation.
            () if is_full && has_slot => ArrivalVerdict::Refuse(RefusalReason::CapacityUsedUp),
            () if is_full => ArrivalVerdict::Refuse(RefusalReason::QueueFull),
            () => ArrivalVerdict::Wait,
        }
    }

    /// Returns whether an organisation's queue accepts no more requests.
    ///
    /// If a full total refused every organisation, a few large organisations could fill
    /// it, and small ones would be refused with empty queues. Each organisation may
    /// therefore always fill an even share of the total, which bounds the number of
    /// waiting requests by twice the total.
    fn is_full(&self, state: &OrganisationState) -> bool {
        let length = state.queue.len();
        let total = self.settings.total_queue_length;
        let even_share = total / self.organisations.len().max(1);
        length >= self.settings.queue_length
            || (self.waiting.len() >= total && length >= even_share)
    }

    fn enqueue(&mut self, request: AdmissionRequest, position: QueuePosition) -> AdmissionDecision {
        let decision = AdmissionDecision::Wait {
            request: request.request.clone(),
        };
        let waiting = QueueEntry {
            organisation: request.organisation.clone(),
            position,
        };
        self.waiting.insert(request.request.clone(), waiting);
        if let Some(state) = self.organisations.get_mut(&request.organisation) {
            state.drain.record_pressure();
            state.queue.insert(position, request);
        }
        decision
    }

    /// Releases a started request and returns the decisions about requests that waited
    /// for its slot. An unknown request changes nothing.
    pub fn release(
        &mut self,
        request: &RequestId,
        now: Instant,
        cause: ReleaseCause,
    ) -> Vec<AdmissionDecision> {
        let Some(organisation) = self.running.remove(request) else {
            return Vec::new();
        };
        if let Some(state) = self.organisations.get_mut(&organisation) {
            state.in_flight = state.in_flight.saturating_sub(1);
            if cause == ReleaseCause::Completed {
                state.drain.record_end(!state.queue.is_empty(), now);
            }
        }
        let mut decisions = Vec::new();
        self.start_waiting(now, &mut decisions);
        decisions
    }

    /// Starts waiting requests that may start now and refuses those that can no longer
    /// meet their deadlines. The cost grows with the number of waiting requests, so call
    /// it every few milliseconds rather than on every event.
    pub fn tick(&mut self, now: Instant) -> Vec<AdmissionDecision> {
        let mut decisions = Vec::new();
        self.start_waiting(now, &mut decisions);
        self.refuse_unreachable(now, &mut decisions);
        self.organisations
            .retain(|_, state| !state.is_removed || !state.is_idle());
        decisions
    }

    /// Removes a waiting request and returns whether it was waiting. A running request
    /// has to be released instead.
    pub fn cancel(&mut self, request: &RequestId, _now: Instant) -> bool {
        let Some(waiting) = self.waiting.remove(request) else {
            return false;
        };
        if let Some(state) = self.organisations.get_mut(&waiting.organisation) {
            state.queue.remove(&waiting.position);
        }
        true
    }

    /// Refuses each waiting request whose estimate passes its deadline.
    ///
    /// A queued request that cannot meet its deadline takes the place of one that can,
    /// and its caller learns too late to go elsewhere. Goodput would fall while all slots
    /// are busy.
    fn refuse_unreachable(&mut self, now: Instant, decisions: &mut Vec<AdmissionDecision>) {
        for request in self.unreachable_requests(now) {
            self.cancel(&request.request, now);
            decisions.push(self.refuse_waiting(&request, now));
        }
    }

    fn unreachable_requests(&self, now: Instant) -> Vec<AdmissionRequest> {
        let mut unreachable = Vec::new();
        let active_shares = self.active_shares();
        for state in self.organisations.values() {
            if state.awaits_share(self.settings.share_grace, now) {
                let is_late = |request: &&AdmissionRequest| now >= request.deadline;
                unreachable.extend(state.queue.values().filter(is_late).cloned());
                continue;
            }
            let estimate = self.wait_estimate(state, active_shares, now);
            let mut ahead = 0;
            for request in state.queue.values() {
                match estimate.is_reachable(state, request, ahead, WAITING_MARGIN, now) {
                    true => ahead += 1,
                    false => unreachable.push(request.clone()),
                }
            }
        }
        unreachable
    }

    pub(super) fn refuse_waiting(
        &mut self,
        request: &AdmissionRequest,
        now: Instant,
    ) -> AdmissionDecision {
        let no_share = self
            .organisations
            .get(&request.organisation)
            .is_none_or(OrganisationState::has_no_share);
        let reason = match () {
            () if now >= request.deadline => RefusalReason::DeadlinePassed,
            () if no_share => RefusalReason::CapacityUsedUp,
            () => RefusalReason::DeadlineUnreachable,
        };
        self.refuse(request, reason, now)
    }

    fn refuse(
        &mut self,
        request: &AdmissionRequest,
        reason: RefusalReason,
        now: Instant,
    ) -> AdmissionDecision {
        let window = self.settings.demand_window;
        match self.organisations.get_mut(&request.organisation) {
            Some(state) if is_capacity_refusal(reason) => {
                state.refusals.count(window, now);
                state.drain.record_pressure();
            }
            _ => (),
        }
        AdmissionDecision::Refuse {
            request: request.request.clone(),
            reason,
            retry_after: self.retry_after(request, now),
        }
    }
}

/// Returns whether more capacity would have admitted the request.
fn is_capacity_refusal(reason: RefusalReason) -> bool {
    !matches!(
        reason,
        RefusalReason::Malformed | RefusalReason::DeadlinePassed
    )
}
