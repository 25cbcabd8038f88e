//! Carries out the decisions about starts of requests whose service has several priorities.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::attempt_policy::AttemptPurpose;
use super::choice::ChosenTarget;
use super::exchange::Exchange;
use super::response::Refusal;
use super::tables::ServingTables;
use crate::admission::start::{
    HoldReason, PathOutlook, StartContext, StartDecision, StartRequest, StartVerdict, WaitTicket,
    WaitingRequest, current_priority, decide,
};
use crate::capacity::organisation_key;
use crate::ids::{ServiceId, TargetId};
use crate::ingress::{IngressConfiguration, MatchedRequest};
use crate::reason::RefusalReason;

/// Time between two attempts to find room for a waiting request. Five attempts fit into an
/// eighth of an objective of 500 ms.
const RETRY_INTERVAL: Duration = Duration::from_millis(12);
/// Part of the route's timeout below which the time that a caller has left shows that it
/// was refused before. A first attempt has all of it.
const RETURNING_SHARE: f64 = 0.95;
/// Part of the remaining time up to which callers honour `Retry-After`.
const HONOURED_SHARE: f64 = 1.0 / 3.0;
/// Smallest part of the longest honoured time that a `Retry-After` is set to, so that the
/// callers it is shortened for do not come back together.
const MIN_HONOURED: f64 = 0.6;

/// Last class of urgency that engines know.
const MAX_URGENCY_CLASS: u8 = 9;

/// What has been decided about the start of one request.
#[derive(Debug, Default)]
pub(super) struct StartProgress {
    /// Whether an attempt was started.
    is_admitted: bool,
    /// The last decision, unless it was to start.
    held: Option<HeldStart>,
}

/// A decision not to start, and the expected first event that it is based on.
#[derive(Debug, Clone, Copy)]
struct HeldStart {
    decision: StartDecision,
    priority: u8,
    expected: Duration,
}

impl Exchange {
    /// Counts the request, once, as demand of its service.
    pub(super) fn record_arrival(&self) {
        if let Some(priority) = self.start_priority() {
            let mut start = self.tables.start.lock();
            start.count_arrival(&self.service.name, priority, self.arrived);
        }
    }

    /// Counts the start of an attempt; only the first one of a request counts.
    pub(super) fn record_start(&self, now: Instant) {
        let was_admitted = std::mem::replace(&mut self.start.lock().is_admitted, true);
        if let (false, Some(priority)) = (was_admitted, self.start_priority()) {
            let mut start = self.tables.start.lock();
            start.count_start(&self.service.name, priority, now);
        }
    }

    /// Counts a refusal for lack of capacity. `reason` is `None` for a service whose
    /// requests all have the same priority.
    pub(super) fn record_capacity_refusal(&self, reason: Option<HoldReason>) {
        if let Some(reason) = reason {
            self.tables.metrics.start_decided(reason.name());
        }
        let service = &self.service.name;
        self.tables
            .count_capacity_refusal(service, self.matched.combined, Instant::now());
    }

    /// Returns whether the last choice was held back for more urgent requests, although its
    /// path has room.
    pub(super) fn is_held_back(&self) -> bool {
        let held = self.start.lock().held;
        held.is_some_and(|held| {
            let verdict = held.decision.verdict;
            let reasons = [HoldReason::ExpectedLate, HoldReason::Headroom];
            reasons.map(StartVerdict::Refuse).contains(&verdict)
        })
    }

    /// Removes the last decision before the next choice.
    pub(super) fn clear_hold(&self) {
        self.start.lock().held = None;
    }

    /// Returns the priority of the request in the configuration in effect, or `None` if all
    /// requests of the service have the same one.
    fn start_priority(&self) -> Option<u8> {
        self.service.engine.as_ref()?;
        let configuration = self.tables.configuration.load();
        let configuration = configuration.as_ref()?;
        let mut start = self.tables.start.lock();
        start.observe_configuration(configuration);
        start.ranks(&self.service.name)?;
        drop(start);
        // Only a later configuration can differ from what the request was matched with.
        if configuration.version == self.configuration {
            return Some(self.matched.combined);
        }
        let organisation = self.matched.organisation.as_deref();
        let current = current_priority(configuration, &self.matched.route.name, organisation);
        Some(current.unwrap_or(self.matched.combined))
    }

    /// Starts the request on a path, or keeps the decision not to, which
    /// [`Self::choose_after_wait`] carries out. Returns `None` if its service has no
    /// different priorities.
    pub(super) fn decide_start(
        &self,
        chosen: &ChosenTarget,
        now: Instant,
    ) -> Option<Result<(), Refusal>> {
        let path = chosen.path.as_ref()?;
        let priority = self.start_priority()?;
        let left = self.deadline.saturating_duration_since(self.arrived);
        let request = StartRequest {
            priority,
            organisation: organisation_key(self.matched.organisation.as_deref()),
            objective: self.matched.route.latency_aim,
            age: now.saturating_duration_since(self.arrived),
            left: self.deadline.saturating_duration_since(now),
            is_returning: left < self.matched.route.timeout.mul_f64(RETURNING_SHARE),
            is_admitted: self.start.lock().is_admitted,
        };
        let expected = Duration::from_secs_f64((path.first_event_ms / 1000.0).clamp(0.0, 1e6));
        let outlook = PathOutlook {
            first_event: expected,
            full: path.full,
        };
        let decision = self.decide_in_view(&request, outlook, chosen, now)?;
        let held = HeldStart {
            decision,
            priority,
            expected,
        };
        match decision.verdict {
            StartVerdict::Start => {
                let cause = if decision.by_floor { "floor" } else { "start" };
                self.tables.metrics.start_decided(cause);
                Some(Ok(()))
            }
            StartVerdict::Wait(..) | StartVerdict::Refuse(_) => {
                self.start.lock().held = Some(held);
                Some(Err(Refusal::not_run(RefusalReason::NoRoom, Duration::ZERO)))
            }
        }
    }

    fn decide_in_view(
        &self,
        request: &StartRequest,
        outlook: PathOutlook,
        chosen: &ChosenTarget,
        now: Instant,
    ) -> Option<StartDecision> {
        let service = &self.service.name;
        let fleet = self.tables.fleet.lock();
        let zone = fleet.get(&chosen.id).map(|state| state.entry.zone.clone());
        drop(fleet);
        let view = self.tables.capacity.load();
        let capacity = view.service(service, now);
        let zone = capacity.and_then(|capacity| capacity.zone(zone.as_deref()?));
        let home = capacity.and_then(|capacity| capacity.zone(&self.tables.zone));
        let start = self.tables.start.lock();
        let context = StartContext {
            ranks: start.ranks(service)?,
            zone,
            home,
            floor_due: start.is_floor_due(service, request.priority),
            waiting_above: start.queue.waits_above(service, request.priority),
        };
        Some(decide(request, outlook, context))
    }

    /// Logs and counts a refusal, and returns it with the time to come back.
    fn refuse_start(&self, held: HeldStart, reason: HoldReason, now: Instant) -> Refusal {
        self.record_capacity_refusal(Some(reason));
        self.log_held("start refused", held, reason, Duration::ZERO);
        let left = self.deadline.saturating_duration_since(now);
        let honoured = left.mul_f64(HONOURED_SHARE);
        let spread = MIN_HONOURED + (1.0 - MIN_HONOURED) * rand::random::<f64>();
        let after = match self.tables.count_refusal(now) {
            after if after <= honoured => after,
            _ => honoured.mul_f64(spread),
        };
        Refusal::not_run(RefusalReason::NoRoom, after)
    }

    fn log_held(&self, line: &str, held: HeldStart, reason: HoldReason, wait: Duration) {
        let decision = held.decision;
        log::info!(
            request:% = self.outgoing.id,
            route:% = self.matched.route.name,
            organisation:% = self.matched.organisation.as_deref().unwrap_or("none"),
            priority = held.priority,
            rank = decision.rank,
            reason:% = reason.name(),
            headroom = decision.headroom.round() as u64,
            free:% = decision.free.map_or_else(|| "unknown".to_owned(), |free| format!("{free:.0}")),
            expected_ms = held.expected.as_millis() as u64,
            wait_ms = wait.as_millis() as u64;
            "{line}"
        );
    }

    /// Selects a target or path like [`Self::choose_after_pauses`]. A request of the most
    /// urgent rank waits for room if there is none.
    pub(super) async fn choose_after_wait(
        &self,
        excluded: &[TargetId],
        purpose: AttemptPurpose,
        allowance: &mut Duration,
    ) -> Result<ChosenTarget, Refusal> {
        let first = self.choose_after_pauses(excluded, purpose, allowance).await;
        let held = match &first {
            Err(refusal) if refusal.reason == RefusalReason::NoRoom => self.start.lock().held,
            _ => None,
        };
        match held.map(|held| (held, held.decision.verdict)) {
            Some((held, StartVerdict::Wait(wait, reason))) => {
                self.log_held("start held", held, reason, wait);
                self.wait_for_room(excluded, held, Instant::now() + wait)
                    .await
            }
            Some((held, StartVerdict::Refuse(reason))) => {
                Err(self.refuse_start(held, reason, Instant::now()))
            }
            _ => first,
        }
    }

    async fn wait_for_room(
        &self,
        excluded: &[TargetId],
        held: HeldStart,
        until: Instant,
    ) -> Result<ChosenTarget, Refusal> {
        let waiting = WaitingRequest {
            service: self.service.name.clone(),
            priority: held.priority,
            organisation: organisation_key(self.matched.organisation.as_deref()),
            objective_at: self.arrived + self.matched.route.latency_aim,
            deadline: self.deadline,
        };
        let Some(mut waiting) = WaitingStart::open(&self.tables, waiting) else {
            return Err(self.refuse_start(held, HoldReason::QueueFull, Instant::now()));
        };
        self.tables.metrics.start_decided("wait");
        loop {
            let left = until.saturating_duration_since(Instant::now());
            tokio::time::sleep(RETRY_INTERVAL.min(left)).await;
            let now = Instant::now();
            // Also after a host was frozen: nothing is sent for a caller that has gone.
            if now >= until {
                return Err(self.refuse_start(held, HoldReason::WaitOver, now));
            }
            if let Some(priority) = self.start_priority() {
                waiting.set_priority(priority);
            }
            if !waiting.is_next(now) {
                continue;
            }
            let chosen = self.choose(excluded, AttemptPurpose::Start);
            let held = self.start.lock().held;
            let verdict = held.map(|held| (held, held.decision.verdict));
            match (chosen, verdict) {
                (Ok(chosen), _) => {
                    waiting.count_start(now);
                    return Ok(chosen);
                }
                (Err(_), Some((_, StartVerdict::Wait(..)))) => {}
                (Err(_), Some((held, StartVerdict::Refuse(reason)))) => {
                    return Err(self.refuse_start(held, reason, now));
                }
                (Err(refusal), _) => return Err(refusal),
            }
        }
    }
}

impl ServingTables {
    /// Returns the class in which an engine admits a request: its rank where the routes of
    /// the service have different priorities.
    pub(super) fn urgency_class(
        &self,
        configuration: &IngressConfiguration,
        service: &ServiceId,
        matched: &MatchedRequest,
    ) -> u8 {
        let mut start = self.start.lock();
        start.observe_configuration(configuration);
        let order = start
            .ranks(service)
            .map(|ranks| ranks.order(matched.combined));
        let order = order.and_then(|order| u8::try_from(order).ok());
        order.unwrap_or(matched.priority).min(MAX_URGENCY_CLASS)
    }
}

/// Keeps a request in the queue until it is dropped, as it is when its caller leaves.
#[derive(Debug)]
struct WaitingStart {
    tables: Arc<ServingTables>,
    ticket: WaitTicket,
    service: ServiceId,
    priority: u8,
    organisation: u64,
}

impl WaitingStart {
    fn open(tables: &Arc<ServingTables>, request: WaitingRequest) -> Option<Self> {
        let (service, organisation) = (request.service.clone(), request.organisation);
        let priority = request.priority;
        let ticket = tables.start.lock().queue.add(request)?;
        record_waiting(tables, &service, priority);
        Some(Self {
            tables: tables.clone(),
            ticket,
            service,
            priority,
            organisation,
        })
    }

    fn set_priority(&mut self, priority: u8) {
        let before = std::mem::replace(&mut self.priority, priority);
        if before == priority {
            return;
        }
        let mut start = self.tables.start.lock();
        start.queue.set_priority(self.ticket, priority);
        drop(start);
        record_waiting(&self.tables, &self.service, before);
        record_waiting(&self.tables, &self.service, priority);
    }

    fn is_next(&self, now: Instant) -> bool {
        let start = self.tables.start.lock();
        start.queue.next(&self.service, now) == Some(self.ticket)
    }

    fn count_start(&self, now: Instant) {
        let mut start = self.tables.start.lock();
        start.queue.count_start(self.organisation, now);
    }
}

impl Drop for WaitingStart {
    fn drop(&mut self) {
        self.tables.start.lock().queue.remove(self.ticket);
        record_waiting(&self.tables, &self.service, self.priority);
    }
}

/// Reports the number of waiting requests after a change.
fn record_waiting(tables: &ServingTables, service: &ServiceId, priority: u8) {
    let start = tables.start.lock();
    let (all, same) = (start.queue.len(), start.queue.count(service, priority));
    drop(start);
    tables.metrics.starts_waiting(all);
    let same = u32::try_from(same).unwrap_or(u32::MAX);
    tables.set_waiting(service, priority, same, Instant::now());
}
