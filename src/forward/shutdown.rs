//! Ends and records the requests that meet the shutdown of this host.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;

use super::exchange::Exchange;
use super::progress::RequestProgress;
use super::response::Refusal;
use super::tables::ServingTables;
use crate::drain::DrainWindow;
use crate::reason::RefusalReason;

/// How the shutdown ended a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ShutdownEnd {
    /// It was not admitted, or no longer sent to a target.
    Refused,
    /// It got a final response before its target's.
    Answered,
    /// Its connection was closed.
    Cut,
}

impl ShutdownEnd {
    fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Answered => "answered",
            Self::Cut => "cut",
        }
    }
}

impl ServingTables {
    /// Returns the times of the shutdown, once it has begun.
    pub fn drain_window(&self) -> Option<DrainWindow> {
        *self.drain.borrow()
    }

    /// Begins the shutdown.
    pub fn begin_drain(&self, window: DrainWindow) {
        self.drain.send_replace(Some(window));
    }

    /// Returns once the requests that are left get their final response. Never returns while
    /// this host is not shutting down.
    pub(super) async fn answer_due(self: Arc<Self>) {
        let mut drain = self.drain.subscribe();
        let window = match drain.wait_for(Option::is_some).await {
            Ok(window) => *window,
            Err(_) => None,
        };
        match window {
            Some(window) => tokio::time::sleep_until(window.answer_at().into()).await,
            None => std::future::pending().await,
        }
    }

    /// Refuses a request that may outlast this host, if it is shutting down.
    pub(super) fn check_drain(
        self: &Arc<Self>,
        progress: &RequestProgress,
        deadline: Instant,
        now: Instant,
    ) -> Result<(), Refusal> {
        match self.drain_window() {
            Some(window) if !window.admits(deadline, now) => {
                self.record_shutdown_end(progress, ShutdownEnd::Refused, now);
                Err(Refusal::draining())
            }
            _ => Ok(()),
        }
    }

    /// Returns the final response of a request that is left at the end of the shutdown.
    pub(super) fn end_request(
        self: &Arc<Self>,
        progress: &RequestProgress,
        now: Instant,
    ) -> Refusal {
        self.record_shutdown_end(progress, ShutdownEnd::Answered, now);
        match progress.may_have_run() {
            true => Refusal::may_have_run(StatusCode::GATEWAY_TIMEOUT, RefusalReason::Draining),
            false => Refusal::draining(),
        }
    }

    /// Logs and counts a request that the shutdown ends.
    pub(super) fn record_shutdown_end(
        self: &Arc<Self>,
        progress: &RequestProgress,
        end: ShutdownEnd,
        now: Instant,
    ) {
        let stopping = self.drain_window().map(|window| window.age(now));
        let millis = |time: Option<Duration>| match time {
            Some(time) => time.as_millis().to_string(),
            None => "unknown".to_owned(),
        };
        self.metrics.shutdown_ended(end.name());
        log::info!(
            request:% = progress.id,
            end:% = end.name(),
            is_sent = progress.may_have_run(),
            after_ms = progress.age(now).as_millis() as u64,
            left_ms:% = millis(progress.left(now)),
            stopping_ms:% = millis(stopping);
            "request ended by the shutdown"
        );
    }
}

impl Exchange {
    /// Refuses to send the request to a target if the shutdown of this host may leave it
    /// without a response.
    pub(super) fn check_send(&self, now: Instant) -> Result<(), Refusal> {
        match self.tables.drain_window() {
            Some(window) if !window.may_send(self.deadline, now) => Err(Refusal::draining()),
            _ => Ok(()),
        }
    }

    /// Records that the shutdown ends the request, if that is why it is sent to no target.
    pub(super) fn record_unsent(&self, refusal: &Refusal, end: ShutdownEnd) {
        if refusal.reason == RefusalReason::Draining {
            self.tables
                .record_shutdown_end(&self.progress, end, Instant::now());
        }
    }
}
