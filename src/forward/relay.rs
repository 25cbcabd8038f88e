//! Relays one stream: passes events to the caller, and after a failure continues the
//! stream over another path within the same response.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::events::EventSplitter;
use super::exchange::{Exchange, InFlightRequest, TriedTargets};
use super::head::forwarded;
use super::response::ResponseBody;
use super::response_end::ends_with_connection;
use super::stream_times::StreamTimes;
use super::watch::{PathWatch, SilenceVerdict};
use crate::silence::SilenceCause;

/// A running stream.
struct StreamRelay {
    exchange: Arc<Exchange>,
    watch: PathWatch,
    _in_flight: InFlightRequest,
    tried: TriedTargets,
    body: Incoming,
    /// Whether the end of the body is the end of its connection.
    ends_with_connection: bool,
    /// Status that was sent to the caller.
    status: u16,
    events: EventSplitter,
    times: StreamTimes,
}

/// Creates the response to the caller, whose body relays the events.
pub(super) fn open(
    watch: PathWatch,
    in_flight: InFlightRequest,
    tried: TriedTargets,
    response: Response<Incoming>,
) -> Response<ResponseBody> {
    let (head, body) = response.into_parts();
    let arrived = watch.exchange.arrived;
    let relay = StreamRelay {
        exchange: watch.exchange.clone(),
        watch,
        _in_flight: in_flight,
        tried,
        body,
        ends_with_connection: ends_with_connection(&head.headers),
        status: head.status.as_u16(),
        events: EventSplitter::default(),
        times: StreamTimes::new(arrived),
    };
    let frames = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(events)) => Some((Ok(Frame::data(events)), Some(relay))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = head.status;
    *response.headers_mut() = forwarded(&head.headers);
    response
}

/// What happened on the target's side of a stream.
enum StreamStep {
    Events(Bytes),
    End,
    Broken(&'static str),
    Silent,
    EngineLost,
    Deadline,
}

impl StreamRelay {
    /// Returns the next events, or `None` at the end of the stream.
    async fn next(&mut self) -> std::io::Result<Option<Bytes>> {
        loop {
            let reason = match self.step().await {
                StreamStep::Events(events) => return Ok(Some(events)),
                StreamStep::End if self.ends_with_connection && self.watch.has_crashed().await => {
                    self.watch.record_break().await;
                    self.record_break();
                    "target ended"
                }
                StreamStep::End => {
                    let chosen = &self.watch.chosen;
                    self.exchange
                        .record_response(chosen, self.status, Some(self.times));
                    return Ok(None);
                }
                StreamStep::EngineLost => {
                    self.watch.handle_lost_engine().await;
                    continue;
                }
                StreamStep::Deadline => return Err(self.cut("deadline", "none")),
                StreamStep::Broken(reason) => {
                    self.watch.record_break().await;
                    self.record_break();
                    reason
                }
                StreamStep::Silent => match self.watch.handle_silence().await {
                    SilenceVerdict::Waiting => continue,
                    SilenceVerdict::LostLink if self.has_no_alternative() => continue,
                    SilenceVerdict::LostLink => "link lost",
                    SilenceVerdict::Lost(_) if self.has_no_alternative() => continue,
                    SilenceVerdict::Lost(failed) => {
                        self.tried.avoid.push(failed);
                        "silent"
                    }
                },
            };
            self.resume(reason).await?;
        }
    }

    /// Records a broken connection as a failure of the target, unless this host has lost the
    /// link. Behind a gateway, the gateway may have failed as well.
    fn record_break(&mut self) {
        if self.watch.has_lost_link() {
            return;
        }
        if !self.watch.uses_gateway() {
            self.exchange.observe_failure(&self.watch.chosen, None);
        }
        self.tried.avoid.push(self.watch.chosen.id.clone());
    }

    async fn step(&mut self) -> StreamStep {
        let limit = self.watch.check_at().min(self.exchange.deadline);
        let step = tokio::select! {
            step = tokio::time::timeout_at(limit.into(), self.body.frame()) => step,
            () = self.watch.engine_lost() => return StreamStep::EngineLost,
        };
        match step {
            Err(_) if Instant::now() >= self.exchange.deadline => StreamStep::Deadline,
            Err(_) => StreamStep::Silent,
            Ok(Some(Ok(frame))) => self.handle_frame(frame),
            Ok(Some(Err(_))) => StreamStep::Broken("connection broke"),
            Ok(None) if self.events.is_partial() => StreamStep::Broken("ended within an event"),
            Ok(None) => StreamStep::End,
        }
    }

    fn handle_frame(&mut self, frame: Frame<Bytes>) -> StreamStep {
        let now = Instant::now();
        let metrics = &self.exchange.tables.metrics;
        match self.times.observe(now) {
            None => metrics.first_event(self.times.first()),
            Some(pause) => metrics.next_event(pause),
        }
        self.watch.observe_event(now);
        let Ok(data) = frame.into_data() else {
            return StreamStep::Events(Bytes::new());
        };
        match self.events.push(&data) {
            Ok(events) => StreamStep::Events(events.unwrap_or_default()),
            Err(_) => StreamStep::Broken("oversized event"),
        }
    }

    /// Returns whether the stream cannot continue anywhere else.
    ///
    /// An engine that is known to be silent may be shutting down: it accepts no
    /// connections but completes the requests that pass it. Cutting the stream would gain
    /// nothing, as engines abort requests that wait for a dead engine after two seconds
    /// by themselves.
    fn has_no_alternative(&self) -> bool {
        let route = &self.exchange.matched.route;
        let attempts_left = self.tried.sent + 1 < route.max_attempts;
        let may_resume = route.kind.is_repeatable() && attempts_left;
        !may_resume && !self.exchange.is_poison(Instant::now())
    }

    /// Continues on another path after the last event that was passed on.
    async fn resume(&mut self, reason: &str) -> std::io::Result<()> {
        self.watch.release();
        self.events.drop_partial();
        let exchange = self.exchange.clone();
        let route = &exchange.matched.route;
        self.tried.sent += 1;
        loop {
            let now = Instant::now();
            let denied = if !route.kind.is_repeatable() || self.tried.sent >= route.max_attempts {
                Some("no_attempt")
            } else if now >= exchange.deadline {
                Some("no_time")
            } else if !exchange.tables.spend_retry(&exchange.service.name, now) {
                Some("no_retry")
            } else {
                None
            };
            if let Some(denied) = denied {
                return Err(self.cut(reason, denied));
            }
            let (chosen, guard) = match exchange.choose_reachable(&self.tried, true).await {
                Ok(chosen) => chosen,
                Err(refusal) => return Err(self.cut(reason, refusal.reason.name())),
            };
            let last = self.events.last_id().map(str::to_owned);
            exchange.tables.metrics.repaired("resumed");
            log::info!(
                request:% = exchange.outgoing.id,
                reason:% = reason,
                from:% = self.watch.chosen.id,
                to:% = chosen.id,
                after_event:% = last.as_deref().unwrap_or("none");
                "resumed"
            );
            let mut watch = PathWatch::open(exchange.clone(), chosen, guard, now);
            match watch.send(last.as_deref(), exchange.deadline).await {
                Ok(response) if response.status().is_success() => {
                    self.ends_with_connection = ends_with_connection(response.headers());
                    self.body = response.into_body();
                    self.watch = watch;
                    self.watch.observe_progress(Instant::now());
                    return Ok(());
                }
                Ok(_) => {
                    exchange.observe_failure(&watch.chosen, None);
                    self.tried.count(&watch.chosen, true);
                }
                Err(failure) => exchange.record_failure(&watch.chosen, &failure, &mut self.tried),
            }
        }
    }

    fn cut(&self, reason: &str, denied: &str) -> std::io::Error {
        if let Some(cause) = self.watch.silence() {
            self.watch.log_silence(cause, "cut", Instant::now());
        }
        self.exchange.tables.metrics.repaired("cut");
        log::info!(
            request:% = self.exchange.outgoing.id,
            after_ms = self.exchange.arrived.elapsed().as_millis() as u64,
            reason:% = reason,
            denied:% = denied,
            cause:% = self.watch.silence().map_or("none", SilenceCause::name),
            silent_ms = self.watch.last_progress.elapsed().as_millis() as u64,
            target_id:% = self.watch.chosen.id,
            after_event:% = self.events.last_id().unwrap_or("none");
            "stream cut"
        );
        std::io::Error::other(reason.to_owned())
    }
}
