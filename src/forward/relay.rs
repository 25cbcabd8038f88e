//! One stream: events go on to the caller, and on a break the stream goes on
//! at another path within the same answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::answer::AnswerBody;
use super::attempt;
use super::choice::ChosenTarget;
use super::events::EventSplitter;
use super::exchange::{CountedRequest, Exchange, TriedTargets};
use super::head::forwarded;
use super::probe::fetch_report;
use super::tables::InFlightGuard;
use crate::ids::TargetId;

/// Shortest silence after which a stream asks what is wrong. Reports lag by
/// 200 ms; passes of a loaded engine take up to about 100 ms.
const LEAST_SILENCE: Duration = Duration::from_millis(350);
/// Silence after which a stream asks, in times of the route's longest pause.
const SILENCE_GAPS: f64 = 1.75;

/// A stream under way.
struct StreamRelay {
    exchange: Arc<Exchange>,
    chosen: ChosenTarget,
    guard: Option<InFlightGuard>,
    _counted: CountedRequest,
    tried: TriedTargets,
    body: Incoming,
    events: EventSplitter,
    /// When something last came from the target.
    heard: Instant,
}

/// The answer to the caller whose events follow.
pub(super) fn open(
    exchange: Arc<Exchange>,
    chosen: ChosenTarget,
    guard: InFlightGuard,
    counted: CountedRequest,
    tried: TriedTargets,
    response: Response<Incoming>,
) -> Response<AnswerBody> {
    let (head, body) = response.into_parts();
    let relay = StreamRelay {
        exchange,
        chosen,
        guard: Some(guard),
        _counted: counted,
        tried,
        body,
        events: EventSplitter::default(),
        heard: Instant::now(),
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

/// What the target's side of a stream did.
enum StreamStep {
    Events(Bytes),
    End,
    Broken(&'static str),
    Silent,
    Deadline,
}

impl StreamRelay {
    /// The next events; `None` at the end of the stream.
    async fn next(&mut self) -> std::io::Result<Option<Bytes>> {
        loop {
            let reason = match self.step().await {
                StreamStep::Events(events) => return Ok(Some(events)),
                StreamStep::End => return Ok(None),
                StreamStep::Deadline => return Err(self.give_up("deadline")),
                StreamStep::Broken(reason) => {
                    self.exchange.observe_failure(&self.chosen, None);
                    let failed = self.chosen.id.clone();
                    self.tried.avoid.push(failed);
                    reason
                }
                StreamStep::Silent => match self.find_fault().await {
                    None => continue,
                    Some(failed) => {
                        self.tried.avoid.push(failed);
                        "silent"
                    }
                },
            };
            self.reopen(reason).await?;
        }
    }

    async fn step(&mut self) -> StreamStep {
        let silence = self.heard + self.silence();
        let limit = silence.min(self.exchange.deadline);
        match tokio::time::timeout_at(limit.into(), self.body.frame()).await {
            Err(_) if Instant::now() >= self.exchange.deadline => StreamStep::Deadline,
            Err(_) => StreamStep::Silent,
            Ok(Some(Ok(frame))) => self.take(frame),
            Ok(Some(Err(_))) => StreamStep::Broken("connection broke"),
            Ok(None) if self.events.is_partial() => StreamStep::Broken("ended within an event"),
            Ok(None) => StreamStep::End,
        }
    }

    fn take(&mut self, frame: Frame<Bytes>) -> StreamStep {
        self.heard = Instant::now();
        let Ok(data) = frame.into_data() else {
            return StreamStep::Events(Bytes::new());
        };
        match self.events.push(&data) {
            Ok(events) => StreamStep::Events(events.unwrap_or_default()),
            Err(_) => StreamStep::Broken("oversized event"),
        }
    }

    fn silence(&self) -> Duration {
        let gap = self.exchange.matched.route.gap_aim.unwrap_or_default();
        gap.mul_f64(SILENCE_GAPS).max(LEAST_SILENCE)
    }

    /// The engine that holds the stream up, if one does.
    async fn find_fault(&mut self) -> Option<TargetId> {
        let now = Instant::now();
        if let Some(gone) = self.gone_engine(now) {
            return Some(gone);
        }
        let id = self.chosen.id.clone();
        let tables = self.exchange.tables.clone();
        let report = fetch_report(&tables, &id, self.chosen.address, now).await;
        // Asked again only after another silence.
        self.heard = Instant::now();
        let failed = match report {
            Err(()) => Some(id),
            Ok(report) => {
                let own = &self.exchange.outgoing.id;
                let mut stalled = report.stalled.iter();
                let stalled = stalled.find(|(request, _)| request == own);
                stalled.and_then(|(_, address)| self.chosen.at(*address))
            }
        };
        if let Some(failed) = &failed {
            tables.fleet.lock().observe_silence(failed, Instant::now());
        }
        failed
    }

    /// An engine of the path that is known to be gone or out.
    fn gone_engine(&self, now: Instant) -> Option<TargetId> {
        let path = self.chosen.path.as_ref()?;
        let fleet = self.exchange.tables.fleet.lock();
        let gone = |id: &TargetId| fleet.get(id).is_none_or(|state| state.is_out(now));
        let mut hops = path.hops.iter();
        hops.find(|hop| gone(&hop.target))
            .map(|hop| hop.target.clone())
    }

    /// Goes on at another path after the last event that was passed on.
    async fn reopen(&mut self, reason: &str) -> std::io::Result<()> {
        self.guard = None;
        self.events.drop_partial();
        let exchange = self.exchange.clone();
        let route = &exchange.matched.route;
        self.tried.sent += 1;
        loop {
            let now = Instant::now();
            let allowed = route.kind.is_repeatable()
                && self.tried.sent < route.max_attempts
                && now < exchange.deadline
                && exchange.tables.spend_retry(&exchange.service.name);
            if !allowed {
                return Err(self.give_up(reason));
            }
            let Ok((chosen, guard)) = exchange.choose(&self.tried.avoid) else {
                return Err(self.give_up("no path left"));
            };
            let last = self.events.last_id().map(str::to_owned);
            let deadline = exchange.deadline;
            let sent = attempt::send(
                &exchange.outgoing,
                &chosen,
                last.as_deref(),
                deadline,
                deadline,
            );
            log::info!(
                request:% = exchange.outgoing.id,
                reason:% = reason,
                from:% = self.chosen.id,
                to:% = chosen.id,
                after_event:% = last.as_deref().unwrap_or("none");
                "resumed"
            );
            match sent.await {
                Ok(response) if response.status().is_success() => {
                    self.body = response.into_body();
                    self.chosen = chosen;
                    self.guard = Some(guard);
                    self.heard = Instant::now();
                    return Ok(());
                }
                Ok(_) => {
                    exchange.observe_failure(&chosen, None);
                    self.tried.count(&chosen, true);
                }
                Err(failure) => {
                    exchange.observe_failure(&chosen, Some(&failure));
                    self.tried.count(
                        &chosen,
                        failure.verdict != crate::verdict::RunVerdict::NotRun,
                    );
                    if let Some(at) = failure.at.and_then(|at| chosen.at(at)) {
                        self.tried.avoid_instead(at);
                    }
                }
            }
        }
    }

    fn give_up(&self, reason: &str) -> std::io::Error {
        log::info!(
            request:% = self.exchange.outgoing.id,
            reason:% = reason,
            target:% = self.chosen.id,
            after_event:% = self.events.last_id().unwrap_or("none");
            "stream cut"
        );
        std::io::Error::other(reason.to_owned())
    }
}
