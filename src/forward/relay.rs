//! Relays one stream: passes events to the caller, and after a failure continues the
//! stream over another path within the same response.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::attempt::AttemptFailure;
use super::attempt_policy::AttemptPurpose;
use super::choice::ChosenTarget;
use super::exchange::{Exchange, InFlightRequest};
use super::open_attempt::OpenAttempt;
use super::race::{AttemptRace, AttemptRole, RaceEvent};
use super::response::ResponseBody;
use super::shutdown::ShutdownEnd;
use super::stream_times::StreamTimes;
use crate::retry::RetryUse;
use crate::silence::{SilenceAction, SilenceCause};

/// A running stream.
struct StreamRelay {
    exchange: Arc<Exchange>,
    race: AttemptRace,
    _in_flight: InFlightRequest,
    /// Status that was sent to the caller.
    status: u16,
    times: StreamTimes,
    /// Resolves when this host, which is shutting down, ends what is left.
    answer_due: BoxFuture<'static, ()>,
}

/// Creates the response to the caller, whose body relays the events. The first attempt of
/// `race` has returned `head`.
pub(super) fn open(
    mut race: AttemptRace,
    in_flight: InFlightRequest,
    head: Response<()>,
) -> Response<ResponseBody> {
    race.is_answering = true;
    let relay = StreamRelay {
        exchange: race.exchange.clone(),
        times: StreamTimes::new(race.exchange.arrived),
        answer_due: Box::pin(race.exchange.tables.clone().answer_due()),
        race,
        _in_flight: in_flight,
        status: head.status().as_u16(),
    };
    let frames = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(events)) => Some((Ok(Frame::data(events)), Some(relay))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    head.map(|()| StreamBody::new(frames).boxed_unsync())
}

impl StreamRelay {
    /// Returns the next events, or `None` at the end of the stream.
    async fn next(&mut self) -> std::io::Result<Option<Bytes>> {
        loop {
            let event = tokio::select! {
                biased;
                event = self.race.next() => event,
                () = &mut self.answer_due => return Err(self.cut_at_shutdown(Instant::now())),
            };
            match event {
                RaceEvent::Events(role, events) => {
                    self.race.keep(role);
                    self.observe_events();
                    return Ok(Some(events));
                }
                RaceEvent::End(role) if self.may_be_truncated(role).await => {
                    self.handle_break(role, "target ended").await?;
                }
                RaceEvent::End(role) => {
                    self.race.keep(role);
                    self.record_response();
                    return Ok(None);
                }
                RaceEvent::Head(role, _) => self.observe_success(role),
                RaceEvent::Broken(role, reason) => self.handle_break(role, reason).await?,
                RaceEvent::Failed(role, failure) => self.handle_failure(role, &failure).await?,
                RaceEvent::Whole(role, _) => self.handle_failed_response(role).await?,
                RaceEvent::Poison => return Err(self.cut("silent", "poison_request")),
                RaceEvent::Deadline => return Err(self.cut("deadline", "no_time")),
            }
        }
    }

    fn observe_events(&mut self) {
        let primary = self.race.get(AttemptRole::Primary);
        if let Some(last) = primary.and_then(OpenAttempt::last_event) {
            self.race.last_event = Some(last.to_owned());
        }
        let metrics = &self.exchange.tables.metrics;
        match self.times.observe(Instant::now()) {
            None => metrics.first_event(self.times.first()),
            Some(pause) => metrics.next_event(pause),
        }
    }

    fn observe_success(&self, role: AttemptRole) {
        if let Some(attempt) = self.race.get(role) {
            self.exchange.observe_success(&attempt.watch.chosen);
        }
    }

    async fn may_be_truncated(&mut self, role: AttemptRole) -> bool {
        match self.race.get_mut(role) {
            Some(attempt) => attempt.may_be_truncated().await,
            None => false,
        }
    }

    fn record_response(&self) {
        if let Some(primary) = self.race.get(AttemptRole::Primary) {
            let (chosen, times) = (&primary.watch.chosen, Some(self.times));
            self.exchange.record_response(chosen, self.status, times);
        }
    }

    /// Records that the stream of an attempt broke off, and continues without it.
    async fn handle_break(&mut self, role: AttemptRole, reason: &str) -> std::io::Result<()> {
        let Some(mut attempt) = self.race.take(role) else {
            return Ok(());
        };
        attempt.watch.end_silence(SilenceAction::Broke);
        attempt.watch.record_break().await;
        self.record_break(&attempt);
        self.race.tried.sent += 1;
        self.continue_without(attempt, reason).await
    }

    /// Records a broken connection as a failure of the target, unless this host has lost the
    /// link. Behind a gateway, the gateway may have failed as well.
    fn record_break(&mut self, attempt: &OpenAttempt) {
        let watch = &attempt.watch;
        if watch.has_lost_link() {
            return;
        }
        if !watch.uses_gateway() {
            self.exchange.observe_failure(&watch.chosen, None);
        }
        self.race.tried.avoid.push(watch.chosen.id.clone());
    }

    /// Records that an attempt gave no response, and continues without it.
    async fn handle_failure(
        &mut self,
        role: AttemptRole,
        failure: &AttemptFailure,
    ) -> std::io::Result<()> {
        let Some(attempt) = self.race.take(role) else {
            return Ok(());
        };
        attempt.watch.record_failure(failure).await;
        self.race.record_failure(&attempt, failure);
        self.continue_without(attempt, failure.cause.name()).await
    }

    /// Records that an attempt to resume the stream returned a failure of the target, and
    /// continues without it.
    async fn handle_failed_response(&mut self, role: AttemptRole) -> std::io::Result<()> {
        let Some(attempt) = self.race.take(role) else {
            return Ok(());
        };
        self.exchange.observe_failure(&attempt.watch.chosen, None);
        self.race.tried.count(&attempt.watch.chosen, true);
        self.continue_without(attempt, "answered_failure").await
    }

    /// Continues on the attempt that is left, or on a new one after the last event that was
    /// passed on.
    async fn continue_without(&mut self, lost: OpenAttempt, reason: &str) -> std::io::Result<()> {
        let from = &lost.watch.chosen.clone();
        drop(lost);
        if self.race.is_open() {
            return Ok(());
        }
        if let Some(denied) = self.denied_resumption() {
            return Err(self.cut_without(from, reason, denied));
        }
        let exchange = self.exchange.clone();
        match exchange
            .choose_reachable(&self.race.tried, AttemptPurpose::Resume)
            .await
        {
            Ok((chosen, guard)) => {
                self.race.open_primary(chosen, guard);
                self.race.log_resumed(reason, from);
                Ok(())
            }
            Err(refusal) => {
                exchange.record_unsent(&refusal, ShutdownEnd::Cut);
                Err(self.cut_without(from, reason, refusal.reason.name()))
            }
        }
    }

    /// Returns why the stream may not be sent to another target, or obtains a retry.
    fn denied_resumption(&mut self) -> Option<&'static str> {
        let exchange = &self.exchange;
        let route = &exchange.matched.route;
        let now = Instant::now();
        match () {
            () if !route.kind.is_repeatable() => Some("no_attempt"),
            () if self.race.tried.sent >= route.max_attempts => Some("no_attempt"),
            () if now >= exchange.deadline => Some("no_time"),
            () if !self.race.obtain_retry(RetryUse::Replacement, now) => Some("no_retry"),
            () => None,
        }
    }

    fn cut_at_shutdown(&mut self, now: Instant) -> std::io::Error {
        let exchange = &self.exchange;
        let end = ShutdownEnd::Cut;
        exchange
            .tables
            .record_shutdown_end(&exchange.progress, end, now);
        self.cut("shutdown", "no_time")
    }

    fn cut(&mut self, reason: &str, denied: &str) -> std::io::Error {
        match self.race.take(AttemptRole::Primary) {
            Some(mut primary) => {
                let cause = primary.watch.silence_cause();
                primary.watch.end_silence(SilenceAction::Cut);
                self.log_cut(&primary.watch.chosen, cause, reason, denied)
            }
            None => std::io::Error::other(reason.to_owned()),
        }
    }

    fn cut_without(&self, from: &ChosenTarget, reason: &str, denied: &str) -> std::io::Error {
        self.log_cut(from, None, reason, denied)
    }

    fn log_cut(
        &self,
        chosen: &ChosenTarget,
        cause: Option<SilenceCause>,
        reason: &str,
        denied: &str,
    ) -> std::io::Error {
        self.exchange.tables.metrics.repaired("cut");
        log::info!(
            request:% = self.exchange.outgoing.id,
            after_ms = self.exchange.arrived.elapsed().as_millis() as u64,
            reason:% = reason,
            denied:% = denied,
            cause:% = cause.map_or("none", SilenceCause::name),
            silent_ms = self.times.since_last(Instant::now()).as_millis() as u64,
            target_id:% = chosen.id,
            after_event:% = self.race.last_event.as_deref().unwrap_or("none");
            "stream cut"
        );
        std::io::Error::other(reason.to_owned())
    }
}
