//! The open attempts of one request: the first one, and one that is made beside it while its
//! target is silent.
//!
//! An attempt that runs is left only for another one that delivers. [`crate::silence`] decides
//! when another one is made.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::Response;

use super::attempt::{AttemptFailure, FailureCause};
use super::attempt_policy::AttemptPurpose;
use super::choice::ChosenTarget;
use super::exchange::{Exchange, TriedTargets};
use super::open_attempt::{AttemptStep, OpenAttempt};
use super::response::{Refusal, ResponseBody};
use super::tables::InFlightGuard;
use super::watch::SilenceFinding;
use crate::retry::RetryUse;
use crate::silence::{SilenceCause, SilenceDecision, SilentRequest, WaitReason, decide, retry_use};
use crate::verdict::RunVerdict;

/// Result of the choice of a target for another attempt.
type AttemptChoice = Result<(ChosenTarget, InFlightGuard), Refusal>;

/// The choice of a target for an attempt beside a silent one.
struct PendingChoice {
    choosing: BoxFuture<'static, AttemptChoice>,
    since: Instant,
    finding: SilenceFinding,
    /// What the attempt may spend.
    retry_use: RetryUse,
}

/// Which attempt something has happened to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RaceSide {
    /// The attempt that the request relies on.
    First,
    /// The attempt beside it.
    Beside,
}

/// What has happened to the attempts of a request.
pub(super) enum RaceEvent {
    /// A stream has begun; its head, without a body.
    Head(RaceSide, Response<()>),
    /// A whole response.
    Whole(RaceSide, Response<ResponseBody>),
    /// Complete events of a stream.
    Events(RaceSide, Bytes),
    /// A stream is complete.
    End(RaceSide),
    /// A stream broke off.
    Broken(RaceSide, &'static str),
    /// An attempt gave no response.
    Failed(RaceSide, AttemptFailure),
    /// Targets crash under the request, and its target is silent.
    Poison,
    /// The deadline has passed.
    Deadline,
}

/// The open attempts of a request. At least one has to be open or in preparation when the
/// next event is waited for.
pub(super) struct AttemptRace {
    pub(super) exchange: Arc<Exchange>,
    pub(super) tried: TriedTargets,
    /// Id of the last event that was passed on.
    pub(super) last_event: Option<String>,
    /// Whether the caller has a part of the response.
    pub(super) is_answering: bool,
    first: Option<OpenAttempt>,
    beside: Option<OpenAttempt>,
    choice: Option<PendingChoice>,
    /// Whether a retry was spent on an attempt that then sent nothing.
    has_unused_retry: bool,
}

impl AttemptRace {
    pub(super) fn new(exchange: Arc<Exchange>) -> Self {
        Self {
            exchange,
            tried: TriedTargets::default(),
            last_event: None,
            is_answering: false,
            first: None,
            beside: None,
            choice: None,
            has_unused_retry: false,
        }
    }

    /// Starts the attempt that the request relies on. `is_paid` says whether a retry was
    /// spent on it.
    pub(super) fn open_first(&mut self, chosen: ChosenTarget, guard: InFlightGuard, is_paid: bool) {
        let mut attempt = self.open_attempt(chosen, guard);
        attempt.is_paid = is_paid;
        self.first = Some(attempt);
    }

    fn open_attempt(&self, chosen: ChosenTarget, guard: InFlightGuard) -> OpenAttempt {
        let (exchange, last_event) = (self.exchange.clone(), self.last_event.clone());
        OpenAttempt::open(exchange, chosen, guard, last_event, Instant::now())
    }

    /// Returns the attempt on one side, if it is open.
    pub(super) fn get(&self, side: RaceSide) -> Option<&OpenAttempt> {
        match side {
            RaceSide::First => self.first.as_ref(),
            RaceSide::Beside => self.beside.as_ref(),
        }
    }

    /// Returns the attempt on one side, mutably, if it is open.
    pub(super) fn get_mut(&mut self, side: RaceSide) -> Option<&mut OpenAttempt> {
        match side {
            RaceSide::First => self.first.as_mut(),
            RaceSide::Beside => self.beside.as_mut(),
        }
    }

    /// Takes the attempt on one side out of the race. The other one, if there is one, becomes
    /// the first.
    pub(super) fn take(&mut self, side: RaceSide) -> Option<OpenAttempt> {
        let taken = match side {
            RaceSide::First => std::mem::replace(&mut self.first, self.beside.take()),
            RaceSide::Beside => self.beside.take(),
        };
        if side == RaceSide::First {
            self.choice = None;
        }
        taken
    }

    /// Returns whether an attempt is open.
    pub(super) fn is_open(&self) -> bool {
        self.first.is_some()
    }

    /// Relies on the attempt on one side, which has delivered, and closes the other one.
    pub(super) fn keep(&mut self, side: RaceSide) {
        self.choice = None;
        let closed = match side {
            RaceSide::First => self.beside.take(),
            RaceSide::Beside => {
                let beside = self.beside.take();
                std::mem::replace(&mut self.first, beside)
            }
        };
        let Some(mut closed) = closed else {
            return;
        };
        let action = match side {
            RaceSide::First => "outrun",
            RaceSide::Beside => "replaced",
        };
        closed.watch.end_silence(action);
        if closed.is_sent() {
            self.tried.count(&closed.watch.chosen, true);
            self.tried.may_have_run = true;
        } else {
            self.has_unused_retry |= closed.is_paid;
        }
        if side == RaceSide::Beside && self.is_answering {
            self.log_resumed("silent", &closed.watch.chosen);
        }
    }

    /// Logs that the stream continues on the first attempt.
    pub(super) fn log_resumed(&self, reason: &str, from: &ChosenTarget) {
        let to = self.first.as_ref().map(|first| &*first.watch.chosen.id);
        self.exchange.tables.metrics.repaired("resumed");
        log::info!(
            request:% = self.exchange.outgoing.id,
            reason:% = reason,
            from:% = from.id,
            to:% = to.unwrap_or("none"),
            after_event:% = self.last_event.as_deref().unwrap_or("none");
            "resumed"
        );
    }

    /// Waits for the next event of any attempt. Meanwhile, attempts are moved away from lost
    /// engines, and another one is made beside a silent one.
    pub(super) async fn next(&mut self) -> RaceEvent {
        loop {
            let (side, step) = tokio::select! {
                step = step_of(&mut self.first) => (RaceSide::First, step),
                step = step_of(&mut self.beside) => (RaceSide::Beside, step),
                chosen = choice_of(&mut self.choice) => {
                    if let Some(choice) = self.choice.take() {
                        self.open_beside(chosen, &choice);
                    }
                    continue;
                }
            };
            return match step {
                AttemptStep::EngineLost => {
                    if let Some(attempt) = self.get_mut(side) {
                        attempt.watch.handle_lost_engine().await;
                    }
                    continue;
                }
                AttemptStep::Silent(finding) => match self.handle_silence(side, finding).await {
                    true => RaceEvent::Poison,
                    false => continue,
                },
                AttemptStep::Head(head) => RaceEvent::Head(side, head),
                AttemptStep::Whole(response) => RaceEvent::Whole(side, response),
                AttemptStep::Events(events) => RaceEvent::Events(side, events),
                AttemptStep::End => RaceEvent::End(side),
                AttemptStep::Broken(reason) => RaceEvent::Broken(side, reason),
                AttemptStep::Failed(failure) => RaceEvent::Failed(side, failure),
                AttemptStep::Deadline => RaceEvent::Deadline,
            };
        }
    }

    /// Moves a silent attempt, or makes another one beside it. Returns whether the request is
    /// to end.
    async fn handle_silence(&mut self, side: RaceSide, finding: SilenceFinding) -> bool {
        let Some(attempt) = self.get_mut(side) else {
            return false;
        };
        attempt.watch.observe_silence(&finding);
        if attempt.watch.repair_silent(&finding).await {
            return false;
        }
        if side == RaceSide::Beside {
            let action = WaitReason::Accompanied.name();
            attempt.watch.note_silence(&finding, action);
            return false;
        }
        let now = Instant::now();
        let request = self.silent_request(finding.cause, now);
        let Some(request) = request else {
            return false;
        };
        let limits = self.exchange.silence_limits();
        let decision = decide(request, limits);
        let action = match decision {
            SilenceDecision::Wait(reason) => reason.name(),
            SilenceDecision::End => return true,
            SilenceDecision::Accompany => self.accompany(&finding, now),
        };
        if let Some(first) = &mut self.first {
            first.watch.note_silence(&finding, action);
        }
        false
    }

    fn silent_request(&mut self, cause: SilenceCause, now: Instant) -> Option<SilentRequest> {
        let exchange = self.exchange.clone();
        let limits = exchange.silence_limits();
        let route = &exchange.matched.route;
        let is_repeatable = route.kind.is_repeatable();
        // The first attempt counts as well.
        let sent = self.tried.sent + 1;
        let has_attempts = sent < route.max_attempts && self.tried.len() < MAX_TRIED;
        let first = self.first.as_mut()?;
        let silent = now.saturating_duration_since(first.watch.last_progress);
        let has_begun = first.has_begun();
        let is_late = cause == SilenceCause::Working && !has_begun && silent >= limits.head;
        // A whole response may take all the time of a request that has to wait for it; the head
        // of a stream is late by the objective of its route.
        let is_limited = is_repeatable && (has_attempts || route.kind.is_stream());
        if is_late && is_limited && !first.is_late {
            first.is_late = true;
            let (verdict, cause) = (RunVerdict::MayHaveRun, FailureCause::Timeout);
            let failure = AttemptFailure::new(verdict, cause);
            exchange.observe_failure(&first.watch.chosen, Some(&failure));
        }
        Some(SilentRequest {
            cause,
            silent,
            has_begun,
            is_repeatable,
            has_attempts,
            is_accompanied: self.beside.is_some() || self.choice.is_some(),
            is_poison: exchange.is_poison(now),
            is_widespread: exchange.is_silence_widespread(),
        })
    }

    /// Starts to choose a target for another attempt, if a retry is left for it. Returns the
    /// action for logs and metrics.
    fn accompany(&mut self, finding: &SilenceFinding, now: Instant) -> &'static str {
        let exchange = self.exchange.clone();
        let retry_use = retry_use(finding.cause);
        if !self.has_retry(retry_use, now) {
            return "no_retry";
        }
        let mut tried = self.tried.clone();
        tried.sent += 1;
        if finding.cause != SilenceCause::LostLink {
            // Two runs of a request on the same first engine cannot be told apart there.
            let first = self.first.as_ref();
            tried
                .avoid
                .extend(first.map(|first| first.watch.chosen.id.clone()));
            tried.avoid.extend(finding.failed.clone());
        }
        let purpose = AttemptPurpose::Beside;
        let choosing = async move { exchange.choose_reachable(&tried, purpose).await };
        self.choice = Some(PendingChoice {
            choosing: Box::pin(choosing),
            since: now,
            finding: finding.clone(),
            retry_use,
        });
        "accompanied"
    }

    fn has_retry(&self, retry_use: RetryUse, now: Instant) -> bool {
        let (tables, service) = (&self.exchange.tables, &self.exchange.service.name);
        self.has_unused_retry || tables.has_retry(service, retry_use, now)
    }

    /// Spends a retry for an attempt, unless one is left of an attempt that sent nothing.
    pub(super) fn spend_retry(&mut self, now: Instant) -> bool {
        let (tables, service) = (&self.exchange.tables, &self.exchange.service.name);
        std::mem::take(&mut self.has_unused_retry) || tables.spend_retry(service, now)
    }

    /// Records an attempt that gave no response.
    pub(super) fn record_failure(&mut self, attempt: &OpenAttempt, failure: &AttemptFailure) {
        let chosen = &attempt.watch.chosen;
        self.exchange
            .record_failure(chosen, failure, &mut self.tried);
        self.has_unused_retry |= attempt.is_paid && !failure.was_sent();
    }

    fn open_beside(&mut self, chosen: AttemptChoice, choice: &PendingChoice) {
        let now = Instant::now();
        let first = self.first.as_ref();
        if first.is_some_and(|first| first.watch.last_progress > choice.since) {
            return;
        }
        let denied = match chosen {
            Ok((chosen, guard))
                if self.has_retry(choice.retry_use, now) && self.spend_retry(now) =>
            {
                let mut attempt = self.open_attempt(chosen, guard);
                attempt.is_paid = true;
                self.beside = Some(attempt);
                return;
            }
            Ok(_) => "no_retry",
            Err(refusal) => refusal.reason.name(),
        };
        if let Some(first) = &mut self.first {
            first.watch.note_silence(&choice.finding, denied);
        }
    }
}

/// Largest number of targets that are tried for one request, sent or not.
pub(super) const MAX_TRIED: usize = 6;

async fn step_of(attempt: &mut Option<OpenAttempt>) -> AttemptStep {
    match attempt {
        Some(attempt) => attempt.step().await,
        None => std::future::pending().await,
    }
}

async fn choice_of(choice: &mut Option<PendingChoice>) -> AttemptChoice {
    match choice {
        Some(choice) => (&mut choice.choosing).await,
        None => std::future::pending().await,
    }
}
