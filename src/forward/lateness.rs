//! Whether an answer came in the time that its route promises, as this host
//! saw it.

use std::time::Duration;

use super::stream_times::StreamTimes;
use crate::ingress::RouteRule;

/// What came late in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseLateness {
    /// Nothing.
    OnTime,
    /// The answer of a request that is no stream.
    Response,
    /// A stream's first event.
    FirstEvent,
    /// An event after another one.
    Pause,
}

impl ResponseLateness {
    /// Judges an answer that took so long, or a stream by its times.
    pub(super) fn of(route: &RouteRule, took: Duration, times: Option<StreamTimes>) -> Self {
        let is_late = |time: Duration| time > route.latency_aim;
        let is_pause = |pause: Duration| route.gap_aim.is_some_and(|aim| pause > aim);
        match times {
            None if is_late(took) => Self::Response,
            Some(times) if is_late(times.first()) => Self::FirstEvent,
            Some(times) if is_pause(times.longest()) => Self::Pause,
            _ => Self::OnTime,
        }
    }

    /// The name used in log lines.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::OnTime => "no",
            Self::Response => "answer",
            Self::FirstEvent => "first_event",
            Self::Pause => "pause",
        }
    }
}
