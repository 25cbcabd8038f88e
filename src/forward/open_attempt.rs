//! One attempt of a request while it runs on its target.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Frame;

use super::attempt::{self, AttemptFailure, FailureCause};
use super::choice::ChosenTarget;
use super::events::EventSplitter;
use super::exchange::{Exchange, read_whole};
use super::head::forwarded;
use super::head_limit::TargetBody;
use super::response::ResponseBody;
use super::response_end::{ends_with_connection, may_be_truncated};
use super::retry_grant::RetryGrant;
use super::tables::InFlightGuard;
use super::target_link::TargetResponse;
use super::watch::{PathWatch, SilenceFinding};
use crate::verdict::RunVerdict;

/// An attempt whose connection to the target is open, or is being opened. Dropping it closes
/// the connection, by which the target notices that it is to stop.
pub(super) struct OpenAttempt {
    pub(super) watch: PathWatch,
    stage: AttemptStage,
    /// Whether its target was reported for sending no head in time.
    pub(super) is_late: bool,
    /// The retry that it uses.
    pub(super) grant: Option<Arc<RetryGrant>>,
    is_sent: Arc<AtomicBool>,
}

enum AttemptStage {
    /// Connecting, sending, or waiting for the head of the response.
    Sending(BoxFuture<'static, Result<TargetResponse, AttemptFailure>>),
    /// Reading a response that is passed on as a whole.
    Reading(BoxFuture<'static, Result<Response<ResponseBody>, AttemptFailure>>),
    /// Receiving the events of a stream.
    Streaming(EventSource),
    /// The response has ended.
    Ended,
}

/// The body of a stream.
struct EventSource {
    body: TargetBody,
    events: EventSplitter,
    /// Whether the end of the body is the end of its connection.
    ends_with_connection: bool,
}

/// What has happened to an attempt.
pub(super) enum AttemptStep {
    /// A stream has begun; its head, without a body.
    Head(Response<()>),
    /// The whole response.
    Whole(Response<ResponseBody>),
    /// Complete events of a stream.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// The stream broke off.
    Broken(&'static str),
    /// The attempt gave no response.
    Failed(AttemptFailure),
    /// The target has sent nothing for a while.
    Silent(SilenceFinding),
    /// An engine of the path was lost.
    EngineLost,
    /// The deadline has passed.
    Deadline,
}

/// What arrived from the target.
enum StageEvent {
    Responded(Result<TargetResponse, AttemptFailure>),
    Read(Result<Response<ResponseBody>, AttemptFailure>),
    Frame(Option<hyper::Result<Frame<Bytes>>>),
}

impl AttemptStage {
    /// Waits for what arrives next. Dropping the future loses nothing.
    async fn next(&mut self) -> StageEvent {
        match self {
            Self::Sending(response) => StageEvent::Responded(response.await),
            Self::Reading(response) => StageEvent::Read(response.await),
            Self::Streaming(source) => StageEvent::Frame(source.body.frame().await),
            Self::Ended => std::future::pending().await,
        }
    }
}

impl OpenAttempt {
    /// Starts an attempt. A stream continues after `last_event`.
    pub(super) fn open(
        exchange: Arc<Exchange>,
        chosen: ChosenTarget,
        guard: InFlightGuard,
        grant: Option<Arc<RetryGrant>>,
        last_event: Option<String>,
        now: Instant,
    ) -> Self {
        let is_sent = Arc::new(AtomicBool::new(false));
        let sending = send(
            exchange.clone(),
            chosen.clone(),
            last_event,
            grant.clone(),
            is_sent.clone(),
        );
        Self {
            watch: PathWatch::open(exchange, chosen, guard, now),
            stage: AttemptStage::Sending(Box::pin(sending)),
            is_late: false,
            grant,
            is_sent,
        }
    }

    /// Returns whether the request may have reached the target.
    pub(super) fn is_sent(&self) -> bool {
        self.is_sent.load(Ordering::Relaxed)
    }

    /// Returns whether the head of the response has arrived.
    pub(super) fn has_begun(&self) -> bool {
        !matches!(self.stage, AttemptStage::Sending(_))
    }

    /// Returns the id of the last event that the attempt has delivered.
    pub(super) fn last_event(&self) -> Option<&str> {
        match &self.stage {
            AttemptStage::Streaming(source) => source.events.last_id(),
            _ => None,
        }
    }

    /// Waits for the next step. Dropping the future loses nothing but an unfinished check of
    /// a silence.
    pub(super) async fn step(&mut self) -> AttemptStep {
        loop {
            let deadline = self.watch.exchange.deadline;
            let check_at = self.watch.check_at().min(deadline);
            // What has arrived counts, also if this host was paused and a check is due.
            let event = tokio::select! {
                biased;
                event = self.stage.next() => event,
                () = self.watch.engine_lost() => return AttemptStep::EngineLost,
                () = tokio::time::sleep_until(check_at.into()) => {
                    let now = Instant::now();
                    if now >= deadline {
                        return AttemptStep::Deadline;
                    }
                    self.watch.begin_check(now);
                    // The target may respond while it is being checked.
                    tokio::select! {
                        biased;
                        event = self.stage.next() => event,
                        () = tokio::time::sleep_until(deadline.into()) => {
                            return AttemptStep::Deadline;
                        }
                        finding = self.watch.find_cause(now) => {
                            return AttemptStep::Silent(finding);
                        }
                    }
                }
            };
            if let Some(step) = self.handle(event) {
                return step;
            }
        }
    }

    /// Records what an event tells about the retry that the attempt uses.
    fn update_grant(&self, event: &StageEvent, now: Instant) {
        let Some(grant) = &self.grant else { return };
        match event {
            StageEvent::Responded(Ok(_)) => grant.settle(now),
            StageEvent::Responded(Err(failure)) => match failure.cause {
                // The gateway may have passed the request on just before.
                FailureCause::GatewayBroken => {}
                _ if failure.was_sent() => grant.settle(now),
                _ => grant.reclaim(),
            },
            StageEvent::Read(_) | StageEvent::Frame(_) => {}
        }
    }

    fn handle(&mut self, event: StageEvent) -> Option<AttemptStep> {
        self.update_grant(&event, Instant::now());
        match event {
            StageEvent::Responded(Ok(response)) => self.begin(response),
            StageEvent::Responded(Err(failure)) | StageEvent::Read(Err(failure)) => {
                self.stage = AttemptStage::Ended;
                Some(AttemptStep::Failed(failure))
            }
            StageEvent::Read(Ok(response)) => {
                self.stage = AttemptStage::Ended;
                Some(AttemptStep::Whole(response))
            }
            StageEvent::Frame(frame) => self.handle_frame(frame),
        }
    }

    fn begin(&mut self, received: TargetResponse) -> Option<AttemptStep> {
        let TargetResponse { response, gateway } = received;
        self.watch.set_gateway(gateway);
        self.watch.observe_progress(Instant::now());
        if !self.watch.exchange.is_stream(&response) {
            let reading = self.read(response);
            self.stage = AttemptStage::Reading(Box::pin(reading));
            return None;
        }
        let (head, body) = response.into_parts();
        self.stage = AttemptStage::Streaming(EventSource {
            body,
            events: EventSplitter::default(),
            ends_with_connection: ends_with_connection(&head.headers),
        });
        let mut begun = Response::new(());
        *begun.status_mut() = head.status;
        *begun.headers_mut() = forwarded(&head.headers);
        Some(AttemptStep::Head(begun))
    }

    /// Reads a response that is passed on as a whole.
    fn read(
        &self,
        response: Response<TargetBody>,
    ) -> impl Future<Output = Result<Response<ResponseBody>, AttemptFailure>> + use<> {
        let ends_with_connection = ends_with_connection(response.headers());
        let exchange = self.watch.exchange.clone();
        let chosen = self.watch.chosen.clone();
        // Behind a gateway, the gateway decides.
        let is_direct = !self.watch.uses_gateway();
        async move {
            let response = read_whole(
                response,
                &exchange.tables.response_budget,
                exchange.deadline,
            )
            .await?;
            let is_unframed = ends_with_connection && is_direct;
            match is_unframed
                && may_be_truncated(&exchange.tables, &chosen.id, chosen.address).await
            {
                true => {
                    let (verdict, cause) = (RunVerdict::MayHaveRun, FailureCause::Broken);
                    Err(AttemptFailure::new(verdict, cause))
                }
                false => Ok(response),
            }
        }
    }

    fn handle_frame(&mut self, frame: Option<hyper::Result<Frame<Bytes>>>) -> Option<AttemptStep> {
        let AttemptStage::Streaming(source) = &mut self.stage else {
            return None;
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return Some(AttemptStep::Broken("connection broke")),
            None if source.events.is_partial() => {
                return Some(AttemptStep::Broken("ended within an event"));
            }
            None => return Some(AttemptStep::End),
        };
        self.watch.observe_event(Instant::now());
        let data = frame.into_data().ok()?;
        match source.events.push(&data) {
            Ok(events) => events.map(AttemptStep::Events),
            Err(_) => Some(AttemptStep::Broken("oversized event")),
        }
    }

    /// Returns whether a stream that ended with its connection may be truncated.
    pub(super) async fn may_be_truncated(&mut self) -> bool {
        let AttemptStage::Streaming(source) = &self.stage else {
            return false;
        };
        let ends_with_connection = source.ends_with_connection;
        ends_with_connection && self.watch.may_be_truncated().await
    }
}

/// Sends the request and waits for the head of the response. Sets `is_sent` before anything is
/// sent.
async fn send(
    exchange: Arc<Exchange>,
    chosen: ChosenTarget,
    last_event: Option<String>,
    grant: Option<Arc<RetryGrant>>,
    is_sent: Arc<AtomicBool>,
) -> Result<TargetResponse, AttemptFailure> {
    let connecting = attempt::send(
        exchange.tables.clone(),
        &exchange.outgoing,
        &chosen,
        last_event.as_deref(),
        exchange.deadline,
    );
    let sending = connecting.await?;
    // Nothing has been sent yet.
    let now = Instant::now();
    let prevented = match () {
        () if exchange.is_poison(now) => Some(FailureCause::Poison),
        () if exchange.check_send(now).is_err() => Some(FailureCause::Draining),
        () if grant.is_some_and(|grant| !grant.send(&chosen.id, now)) => {
            Some(FailureCause::NoRetry)
        }
        () => None,
    };
    if let Some(cause) = prevented {
        return Err(AttemptFailure::new(RunVerdict::NotRun, cause));
    }
    is_sent.store(true, Ordering::Relaxed);
    exchange.progress.observe_sent();
    let response = sending.await;
    if matches!(&response, Err(failure) if failure.verdict == RunVerdict::NotRun) {
        exchange.progress.observe_not_run();
    }
    response
}
