//! The open attempts of one request: the primary one, and a hedge that is made while the target of
//! the primary one is silent.
//!
//! An attempt that runs is left only for another one that delivers. [`crate::silence`] decides
//! when a hedge is made.

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
use super::retry_grant::RetryGrant;
use super::tables::InFlightGuard;
use super::watch::SilenceFinding;
use crate::retry::RetryUse;
use crate::silence::{
    SilenceAction, SilenceCause, SilenceDecision, SilentRequest, WaitReason, decide, retry_use,
};
use crate::verdict::RunVerdict;

/// Largest number of targets that are tried for one request, sent or not.
pub(super) const MAX_TRIED: usize = 6;

/// Result of the choice of a target for another attempt.
type AttemptChoice = Result<(ChosenTarget, InFlightGuard), Refusal>;

/// The choice of a target for a hedge.
struct PendingChoice {
    choosing: BoxFuture<'static, AttemptChoice>,
    since: Instant,
    finding: SilenceFinding,
    /// What the attempt may spend.
    retry_use: RetryUse,
}

/// What an open attempt is for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptRole {
    /// The attempt that the request relies on.
    Primary,
    /// A further attempt, made while the target of the primary one is silent.
    Hedge,
}

/// What has happened to the attempts of a request.
pub(super) enum RaceEvent {
    /// A stream has begun; its head, without a body.
    Head(AttemptRole, Response<()>),
    /// A whole response.
    Whole(AttemptRole, Response<ResponseBody>),
    /// Complete events of a stream.
    Events(AttemptRole, Bytes),
    /// A stream is complete.
    End(AttemptRole),
    /// A stream broke off.
    Broken(AttemptRole, &'static str),
    /// An attempt gave no response.
    Failed(AttemptRole, AttemptFailure),
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
    primary: Option<OpenAttempt>,
    hedge: Option<OpenAttempt>,
    /// The choice of a target for a hedge that is to be made.
    choice: Option<PendingChoice>,
    /// The retry that the next attempt uses, if it needs one.
    grant: Option<Arc<RetryGrant>>,
}

impl AttemptRace {
    pub(super) fn new(exchange: Arc<Exchange>) -> Self {
        Self {
            exchange,
            tried: TriedTargets::default(),
            last_event: None,
            is_answering: false,
            primary: None,
            hedge: None,
            choice: None,
            grant: None,
        }
    }

    /// Starts the attempt that the request relies on.
    pub(super) fn open_primary(&mut self, chosen: ChosenTarget, guard: InFlightGuard) {
        // The first attempt that reaches a target uses no retry.
        let grant = self.grant.take().filter(|_| self.tried.sent > 0);
        self.primary = Some(self.open_attempt(chosen, guard, grant));
    }

    fn open_attempt(
        &self,
        chosen: ChosenTarget,
        guard: InFlightGuard,
        grant: Option<Arc<RetryGrant>>,
    ) -> OpenAttempt {
        let (exchange, last_event) = (self.exchange.clone(), self.last_event.clone());
        OpenAttempt::open(exchange, chosen, guard, grant, last_event, Instant::now())
    }

    /// Returns the attempt in a role, if it is open.
    pub(super) fn get(&self, role: AttemptRole) -> Option<&OpenAttempt> {
        match role {
            AttemptRole::Primary => self.primary.as_ref(),
            AttemptRole::Hedge => self.hedge.as_ref(),
        }
    }

    /// Returns the attempt in a role, mutably, if it is open.
    pub(super) fn get_mut(&mut self, role: AttemptRole) -> Option<&mut OpenAttempt> {
        match role {
            AttemptRole::Primary => self.primary.as_mut(),
            AttemptRole::Hedge => self.hedge.as_mut(),
        }
    }

    /// Takes an attempt out of the race. A hedge becomes the primary attempt if that one is taken.
    pub(super) fn take(&mut self, role: AttemptRole) -> Option<OpenAttempt> {
        let taken = match role {
            AttemptRole::Primary => std::mem::replace(&mut self.primary, self.hedge.take()),
            AttemptRole::Hedge => self.hedge.take(),
        };
        if role == AttemptRole::Primary {
            self.choice = None;
        }
        taken
    }

    /// Returns whether an attempt is open.
    pub(super) fn is_open(&self) -> bool {
        self.primary.is_some()
    }

    /// Makes an attempt that has delivered the primary one, and closes the other one.
    pub(super) fn keep(&mut self, role: AttemptRole) {
        self.choice = None;
        let closed = match role {
            AttemptRole::Primary => self.hedge.take(),
            AttemptRole::Hedge => {
                let hedge = self.hedge.take();
                std::mem::replace(&mut self.primary, hedge)
            }
        };
        let Some(mut closed) = closed else {
            return;
        };
        let action = match role {
            AttemptRole::Primary => SilenceAction::Overtaken,
            AttemptRole::Hedge => SilenceAction::Replaced,
        };
        closed.watch.end_silence(action);
        if closed.is_sent() {
            self.tried.count(&closed.watch.chosen, true);
            self.tried.may_have_run = true;
        }
        if role == AttemptRole::Hedge && self.is_answering {
            self.log_resumed("silent", &closed.watch.chosen);
        }
    }

    /// Logs that the stream continues on the primary attempt.
    pub(super) fn log_resumed(&self, reason: &str, from: &ChosenTarget) {
        let to = self
            .primary
            .as_ref()
            .map(|primary| &*primary.watch.chosen.id);
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
    /// engines, and a hedge is made for a silent one.
    pub(super) async fn next(&mut self) -> RaceEvent {
        loop {
            let (role, step) = tokio::select! {
                step = step_of(&mut self.primary) => (AttemptRole::Primary, step),
                step = step_of(&mut self.hedge) => (AttemptRole::Hedge, step),
                chosen = choice_of(&mut self.choice) => {
                    if let Some(choice) = self.choice.take() {
                        self.open_hedge(chosen, &choice);
                    }
                    continue;
                }
            };
            return match step {
                AttemptStep::EngineLost => {
                    if let Some(attempt) = self.get_mut(role) {
                        attempt.watch.handle_lost_engine().await;
                    }
                    continue;
                }
                AttemptStep::Silent(finding) => match self.handle_silence(role, finding).await {
                    true => RaceEvent::Poison,
                    false => continue,
                },
                AttemptStep::Head(head) => RaceEvent::Head(role, head),
                AttemptStep::Whole(response) => RaceEvent::Whole(role, response),
                AttemptStep::Events(events) => RaceEvent::Events(role, events),
                AttemptStep::End => RaceEvent::End(role),
                AttemptStep::Broken(reason) => RaceEvent::Broken(role, reason),
                AttemptStep::Failed(failure) => RaceEvent::Failed(role, failure),
                AttemptStep::Deadline => RaceEvent::Deadline,
            };
        }
    }

    /// Moves a silent attempt, or makes a hedge. Returns whether the request is to end.
    async fn handle_silence(&mut self, role: AttemptRole, finding: SilenceFinding) -> bool {
        let Some(attempt) = self.get_mut(role) else {
            return false;
        };
        attempt.watch.mark_unresponsive(&finding);
        if attempt.watch.repair_silent(&finding).await {
            return false;
        }
        if role == AttemptRole::Hedge {
            let action = SilenceAction::Waiting(WaitReason::Hedged);
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
            // Noted once it is made or denied.
            SilenceDecision::Wait(WaitReason::Hedged) => return false,
            SilenceDecision::Wait(reason) => SilenceAction::Waiting(reason),
            SilenceDecision::End => return true,
            SilenceDecision::Hedge if self.choose_hedge(&finding, now) => return false,
            SilenceDecision::Hedge => SilenceAction::NoRetry,
        };
        self.note_silence(&finding, action);
        false
    }

    fn note_silence(&mut self, finding: &SilenceFinding, action: SilenceAction) {
        if let Some(primary) = &mut self.primary {
            primary.watch.note_silence(finding, action);
        }
    }

    fn silent_request(&mut self, cause: SilenceCause, now: Instant) -> Option<SilentRequest> {
        let exchange = self.exchange.clone();
        let limits = exchange.silence_limits();
        let route = &exchange.matched.route;
        let is_repeatable = route.kind.is_repeatable();
        // The primary attempt counts as well.
        let sent = self.tried.sent + 1;
        let has_attempts = sent < route.max_attempts && self.tried.len() < MAX_TRIED;
        let primary = self.primary.as_mut()?;
        let silent = now.saturating_duration_since(primary.watch.last_progress);
        let has_begun = primary.has_begun();
        let is_late = cause == SilenceCause::Working && !has_begun && silent >= limits.head;
        // A whole response may take all the time of a request that has to wait for it; the head
        // of a stream is late by the objective of its route.
        let is_limited = is_repeatable && (has_attempts || route.kind.is_stream());
        if is_late && is_limited && !primary.is_late {
            primary.is_late = true;
            let (verdict, cause) = (RunVerdict::MayHaveRun, FailureCause::Timeout);
            let failure = AttemptFailure::new(verdict, cause);
            exchange.observe_failure(&primary.watch.chosen, Some(&failure));
        }
        Some(SilentRequest {
            cause,
            silent,
            has_begun,
            is_repeatable,
            has_attempts,
            is_hedged: self.hedge.is_some() || self.choice.is_some(),
            is_poison: exchange.is_poison(now),
            is_widespread: exchange.is_silence_widespread(),
        })
    }

    /// Starts to choose a target for a hedge. Returns whether a retry is left for it.
    fn choose_hedge(&mut self, finding: &SilenceFinding, now: Instant) -> bool {
        let exchange = self.exchange.clone();
        let retry_use = retry_use(finding.cause);
        if !self.has_retry(retry_use, now) {
            return false;
        }
        let mut tried = self.tried.clone();
        tried.sent += 1;
        if finding.cause != SilenceCause::LostLink {
            // Two runs of a request on the same first engine cannot be told apart there.
            let primary = self.primary.as_ref();
            tried
                .avoid
                .extend(primary.map(|primary| primary.watch.chosen.id.clone()));
            tried.avoid.extend(finding.failed.clone());
        }
        let purpose = AttemptPurpose::Hedge;
        let choosing = async move { exchange.choose_reachable(&tried, purpose).await };
        self.choice = Some(PendingChoice {
            choosing: Box::pin(choosing),
            since: now,
            finding: finding.clone(),
            retry_use,
        });
        true
    }

    fn has_retry(&self, retry_use: RetryUse, now: Instant) -> bool {
        let (tables, service) = (&self.exchange.tables, &self.exchange.service.name);
        self.grant.is_some() || tables.has_retry(service, retry_use, now)
    }

    /// Obtains a retry for the next attempt, unless one is left of an attempt that sent
    /// nothing. Returns whether there is one.
    pub(super) fn obtain_retry(&mut self, retry_use: RetryUse, now: Instant) -> bool {
        if self.grant.is_none() {
            let exchange = &self.exchange;
            let (service, request) = (&exchange.service.name, &exchange.outgoing.id);
            let granted = exchange
                .tables
                .grant_retry(service, request, retry_use, now);
            self.grant = granted.map(Arc::new);
        }
        self.grant.is_some()
    }

    /// Returns whether the request goes on after the response of one attempt: a failure that
    /// the target itself returned, while another attempt is open or may be made. Obtains a
    /// retry in the latter case.
    pub(super) fn goes_on_after(
        &mut self,
        response: &Response<ResponseBody>,
        now: Instant,
    ) -> bool {
        match self.is_open() {
            true => response.status().is_server_error(),
            false => {
                self.exchange.allows_failover(response, &self.tried, now)
                    && self.obtain_retry(RetryUse::Replacement, now)
            }
        }
    }

    /// Returns whether the request may be sent once more. Obtains a retry, unless no attempt
    /// has reached a target.
    pub(super) fn may_retry(&mut self, failure: &AttemptFailure, now: Instant) -> bool {
        self.exchange.allows_retry(failure, &self.tried, now)
            && (self.tried.sent == 0 || self.obtain_retry(RetryUse::Replacement, now))
    }

    /// Keeps the retry of an attempt that sent nothing for the next one. While another attempt
    /// is open, it returns to the budget instead: the request may never need it.
    fn keep_unused(&mut self, attempt: &OpenAttempt) {
        if !self.is_open() {
            let unused = attempt.grant.clone().filter(|grant| grant.is_unused());
            self.grant = self.grant.take().or(unused);
        }
    }

    /// Records an attempt that gave no response.
    pub(super) fn record_failure(&mut self, attempt: &OpenAttempt, failure: &AttemptFailure) {
        let chosen = &attempt.watch.chosen;
        self.exchange
            .record_failure(chosen, failure, &mut self.tried);
        self.keep_unused(attempt);
    }

    fn open_hedge(&mut self, chosen: AttemptChoice, choice: &PendingChoice) {
        let now = Instant::now();
        let primary = self.primary.as_ref();
        if primary.is_some_and(|primary| primary.watch.last_progress > choice.since) {
            return;
        }
        let action = match chosen {
            Ok((chosen, guard)) if self.obtain_retry(choice.retry_use, now) => {
                let grant = self.grant.take();
                self.hedge = Some(self.open_attempt(chosen, guard, grant));
                SilenceAction::Hedged
            }
            Ok(_) => SilenceAction::NoRetry,
            Err(refusal) => SilenceAction::Refused(refusal.reason),
        };
        self.note_silence(&choice.finding, action);
    }
}

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
