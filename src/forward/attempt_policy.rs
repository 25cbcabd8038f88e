//! Selects targets for the attempts of one request, decides about retries, and records
//! the result of each attempt.

use std::time::{Duration, Instant};

use futures::future::join_all;
use http::Response;

use super::attempt::{AttemptFailure, FailureCause};
use super::choice::{self, ChoiceQuery, ChosenTarget};
use super::exchange::{Exchange, NO_ROUTE_RETRY, TriedTargets};
use super::gateway_link::PeerWitness;
use super::head_limit::TargetBody;
use super::lateness::ResponseLateness;
use super::race::MAX_TRIED;
use super::response::{Refusal, ResponseBody};
use super::stream_times::StreamTimes;
use super::tables::InFlightGuard;
use crate::ids::TargetId;
use crate::ingress::RequestKind;
use crate::platform::order;
use crate::poison::key_text;
use crate::reachability::TargetWay;
use crate::reason::RefusalReason;
use crate::silence::SilenceLimits;
use crate::verdict::RunVerdict;

/// Part of an idempotent request's time after which a hedge is made for an attempt that has not
/// responded.
const FIRST_ATTEMPT_SHARE: f64 = 0.5;
/// Time to the head of a stream's response after which another attempt is made, in multiples
/// of the route's latency aim. Callers of streams wait at least four times the aim.
const STREAM_HEAD_FACTOR: f64 = 2.4;

/// What an attempt is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptPurpose {
    /// The response starts, or starts over.
    Start,
    /// The response continues after a part that the caller has.
    Resume,
    /// Another attempt runs, whose target is silent.
    Hedge,
}

impl Exchange {
    /// Selects the target or path of the next attempt.
    pub(super) fn choose(
        &self,
        avoid: &[TargetId],
        purpose: AttemptPurpose,
    ) -> Result<ChosenTarget, Refusal> {
        let now = Instant::now();
        self.clear_hold();
        self.tables
            .check_poison(&self.suspects, &self.outgoing.id, now)?;
        self.check_send(now)?;
        let chosen = self.choose_with_pause(avoid, Duration::ZERO, now);
        let no_route = || Refusal::not_run(RefusalReason::NoRoute, NO_ROUTE_RETRY);
        let chosen = chosen.ok_or_else(no_route)?;
        let full = chosen.path.as_ref().is_some_and(|path| path.full);
        let decided = match purpose {
            AttemptPurpose::Start => self.decide_start(&chosen, now),
            AttemptPurpose::Resume | AttemptPurpose::Hedge => None,
        };
        if let Some(decided) = decided {
            return decided.map(|()| chosen);
        }
        match purpose {
            AttemptPurpose::Start if full => {
                self.record_capacity_refusal(None);
                let after = self.tables.count_refusal(now);
                Err(Refusal::not_run(RefusalReason::NoRoom, after))
            }
            AttemptPurpose::Hedge if full => {
                Err(Refusal::not_run(RefusalReason::NoRoom, Duration::ZERO))
            }
            // A stream that has begun continues even if it has to wait for room: cutting it
            // would waste the work done, and its caller would start over.
            _ => Ok(chosen),
        }
    }

    /// Selects the target or path of an attempt that can wait for the end of pauses up to
    /// `max_pause`.
    pub(super) fn choose_with_pause(
        &self,
        avoid: &[TargetId],
        max_pause: Duration,
        now: Instant,
    ) -> Option<ChosenTarget> {
        let (service, zone) = (&self.service.name, &self.tables.zone);
        let balance = self.tables.balance.load();
        // One draw serves all choices of the first attempt. After a failure the other zone may
        // be cut off.
        let draw = || *self.zone_draw.get_or_init(rand::random);
        let preferred_zone = match avoid.is_empty() {
            true => balance.preferred_zone(service, zone, now, draw),
            false => None,
        };
        let query = ChoiceQuery {
            service: &self.service,
            zone,
            size: self.size,
            avoid,
            max_pause,
            preferred_zone,
        };
        let fleet = self.tables.fleet.lock();
        choice::choose(&fleet, query, now, rand::random)
    }

    /// Counts the next attempt on its targets. `tried` is the number of targets that were
    /// tried before.
    pub(super) fn commit(
        &self,
        chosen: ChosenTarget,
        tried: usize,
    ) -> (ChosenTarget, InFlightGuard) {
        let now = Instant::now();
        self.tables.count_start(now);
        self.record_start(now);
        self.count_zone(&chosen);
        self.log_route(&chosen, tried);
        let guard = InFlightGuard::open(self.tables.clone(), chosen.loads());
        (chosen, guard)
    }

    /// Counts why an attempt goes to another zone, or stays although it was drawn for one.
    fn count_zone(&self, chosen: &ChosenTarget) {
        let metrics = &self.tables.metrics;
        match &chosen.preferred_zone {
            Some(preferred) if chosen.zone == *preferred => metrics.zone_chosen("drawn"),
            Some(_) => metrics.zone_chosen("drawn_elsewhere"),
            None if chosen.zone != self.tables.zone => metrics.zone_chosen("cheaper"),
            None => {}
        }
    }

    /// Logs the target of an attempt and the facts that decided on it.
    pub(super) fn log_route(&self, chosen: &ChosenTarget, tried: usize) {
        let path = chosen.path.as_ref();
        let paused = self.tables.paused_names(&self.service.name, Instant::now());
        log::info!(
            request:% = self.outgoing.id,
            key:% = key_text(self.suspects.request),
            route:% = self.matched.route.name,
            configuration = self.configuration,
            organisation:% = self.matched.organisation.as_deref().unwrap_or("none"),
            target_id:% = chosen.id,
            path:% = path.map(order::path_value).unwrap_or_default(),
            cost_ms = path.map_or(0, |path| path.cost_ms as u64),
            expected_ms = path.map_or(0, |path| path.first_event_ms as u64),
            zone:% = chosen.zone,
            preferred_zone:% = chosen.preferred_zone.as_deref().unwrap_or("none"),
            tokens = chosen.size.tokens() as u64,
            parts:% = self.prompt_parts.join(","),
            tried = tried,
            paused:% = paused;
            "routed"
        );
    }

    /// Logs and counts a complete response.
    pub(super) fn record_response(
        &self,
        chosen: &ChosenTarget,
        status: u16,
        times: Option<StreamTimes>,
    ) {
        // After a failure, or a stream without an event, the run may never have begun.
        let has_begun = times.is_none_or(|times| times.has_begun());
        if has_begun && (200..300).contains(&status) {
            let now = Instant::now();
            let began = times.map_or(now, |times| self.arrived + times.first());
            self.record_survival(now);
            self.record_part_survival(began, now);
        }
        let took = self.arrived.elapsed();
        let (first, longest) =
            times.map_or_else(Default::default, |times| (times.first(), times.longest()));
        log::info!(
            request:% = self.outgoing.id,
            target_id:% = chosen.id,
            status = status,
            after_ms = took.as_millis() as u64,
            first_event_ms = first.as_millis() as u64,
            longest_pause_ms = longest.as_millis() as u64,
            late:% = ResponseLateness::of(&self.matched.route, took, times).name();
            "answered"
        );
        self.tables.metrics.response_forwarded(status, took);
    }

    /// Returns the durations of silence after which another attempt is made.
    pub(super) fn silence_limits(&self) -> SilenceLimits {
        let route = &self.matched.route;
        let (aim, gap) = (route.latency_aim, route.gap_aim);
        match route.kind {
            RequestKind::Idempotent | RequestKind::NonIdempotent => {
                let time = self.deadline.saturating_duration_since(self.arrived);
                SilenceLimits::of_response(time.mul_f64(FIRST_ATTEMPT_SHARE))
            }
            RequestKind::ResumableStream | RequestKind::Stream => {
                SilenceLimits::of_stream(aim, gap, aim.mul_f64(STREAM_HEAD_FACTOR))
            }
        }
    }

    /// Returns whether most targets of the service that this host uses stand still.
    pub(super) fn is_silence_widespread(&self) -> bool {
        let silences = self.tables.silences.lock();
        silences.is_widespread(&self.service.name)
    }

    pub(super) fn is_stream(&self, response: &Response<TargetBody>) -> bool {
        self.matched.route.kind.is_stream() && response.status().is_success()
    }

    /// Returns whether the route allows that a failure which a target itself returned is
    /// retried elsewhere.
    pub(super) fn allows_failover(
        &self,
        response: &Response<ResponseBody>,
        tried: &TriedTargets,
        now: Instant,
    ) -> bool {
        let route = &self.matched.route;
        response.status().is_server_error()
            && route.kind.is_repeatable()
            && tried.sent + 1 < route.max_attempts
            && now < self.deadline
    }

    /// Returns whether the route allows that the request is sent once more.
    pub(super) fn allows_retry(
        &self,
        failure: &AttemptFailure,
        tried: &TriedTargets,
        now: Instant,
    ) -> bool {
        let route = &self.matched.route;
        let allowed = failure.verdict == RunVerdict::NotRun || route.kind.is_repeatable();
        let attempts_left = tried.sent < route.max_attempts && tried.len() < MAX_TRIED;
        allowed && attempts_left && now < self.deadline
    }

    /// Returns the targets that the next attempt avoids.
    pub(super) fn avoided(&self, tried: &TriedTargets) -> Vec<TargetId> {
        let lost = tried.unconnected.iter();
        let lost = lost.filter(|id| self.tables.way(id) == TargetWay::Direct);
        tried.avoid.iter().chain(lost).cloned().collect()
    }

    /// Selects the target or path of the next attempt like [`Self::choose_permitted`]. If
    /// none is left, asks other hosts about the targets to which this host could not
    /// connect.
    pub(super) async fn choose_reachable(
        &self,
        tried: &TriedTargets,
        purpose: AttemptPurpose,
    ) -> Result<(ChosenTarget, InFlightGuard), Refusal> {
        self.wait_for_evidence(tried.sent > 0).await;
        loop {
            match self.choose_permitted(tried, purpose).await {
                Err(_) if self.finds_lost_link(tried).await => {}
                chosen => return chosen,
            }
        }
    }

    /// Returns whether another host reaches one of the targets to which this host could not
    /// connect, so that the request may be sent there through it.
    async fn finds_lost_link(&self, tried: &TriedTargets) -> bool {
        let lost = tried.unconnected.iter();
        let lost = lost.filter(|id| self.tables.way(id) == TargetWay::Direct);
        let asked = lost.map(|id| self.tables.ask_peers(id));
        let witnesses = join_all(asked).await;
        witnesses.contains(&PeerWitness::Reaches) && Instant::now() < self.deadline
    }

    /// Records a failed attempt, and the target that the next one avoids.
    pub(super) fn record_failure(
        &self,
        chosen: &ChosenTarget,
        failure: &AttemptFailure,
        tried: &mut TriedTargets,
    ) {
        self.observe_failure(chosen, Some(failure));
        match failure.cause {
            FailureCause::Connect => tried.unconnected.push(chosen.id.clone()),
            // The same target may be reached through a gateway.
            FailureCause::GatewayBroken => tried.sent += 1,
            _ => tried.count(chosen, failure.was_sent()),
        }
        tried.may_have_run |= failure.verdict != RunVerdict::NotRun;
        if let Some(at) = failure.at.and_then(|at| chosen.target_at(at)) {
            tried.avoid_instead(at);
        }
    }

    pub(super) fn observe_success(&self, chosen: &ChosenTarget) {
        let now = Instant::now();
        let mut fleet = self.tables.fleet.lock();
        for (id, _) in chosen.loads() {
            fleet.observe_success(&id, now);
        }
    }

    /// Records which target failed. `None` stands for a failure that the target itself
    /// returned.
    pub(super) fn observe_failure(&self, chosen: &ChosenTarget, failure: Option<&AttemptFailure>) {
        let now = Instant::now();
        let at = failure
            .and_then(|failure| failure.at)
            .and_then(|at| chosen.target_at(at));
        let id = at.unwrap_or_else(|| chosen.id.clone());
        let cause = failure.map(|failure| failure.cause);
        let mut fleet = self.tables.fleet.lock();
        let ejected_until = match cause {
            // A full engine is not faulty. If the responding engine names another one at
            // fault, the pause is in effect for both: the first one requested it, and the
            // other one would refuse further requests, each of which costs a retry.
            Some(FailureCause::Refused) => {
                match failure.and_then(|failure| failure.paused_until) {
                    Some(until) => fleet.observe_pause(&id, until),
                    None => fleet.observe_full(&id, now),
                }
                None
            }
            // The target is not at fault.
            Some(
                FailureCause::Unavailable
                | FailureCause::NoGateway
                | FailureCause::GatewayBroken
                | FailureCause::Poison
                | FailureCause::Draining
                | FailureCause::NoRetry
                | FailureCause::NoMemory,
            ) => None,
            Some(FailureCause::Connect | FailureCause::Unreachable) => {
                fleet.observe_silence(&id, now);
                fleet.get(&id).and_then(|state| state.ejected_until)
            }
            _ => fleet.observe_failure(&id, now),
        };
        drop(fleet);
        let is_paused = failure.is_some_and(|failure| failure.paused_until.is_some());
        match cause {
            Some(FailureCause::Connect | FailureCause::Unreachable) => {
                self.tables.report_ended(&id, now);
            }
            // The engine that responded names another one of the path. One that requests a
            // pause has not ended.
            Some(FailureCause::Refused) if id != chosen.id && !is_paused => {
                self.tables.report_ended(&id, now);
            }
            _ => {}
        }
        let name = cause.map_or("answered_failure", FailureCause::name);
        self.tables.metrics.attempt_failed(name);
        if ejected_until.is_some() {
            self.tables.metrics.ejected(name);
        }
        log::info!(
            request:% = self.outgoing.id,
            target_id:% = id,
            cause:% = name,
            out_ms = ejected_until.map_or(0, |until| until.saturating_duration_since(now).as_millis() as u64);
            "attempt failed"
        );
    }
}
