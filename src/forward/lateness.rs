//! Classifies whether a response came within the times that its route promises, as
//! measured on this host.

use std::time::Duration;

use super::stream_times::StreamTimes;
use crate::ingress::RouteRule;

/// The part of a response that came late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseLateness {
    /// Nothing came late.
    OnTime,
    /// The response of a request that is no stream.
    Response,
    /// First event of a stream.
    FirstEvent,
    /// A later event of a stream, after a pause that was too long.
    Pause,
}

impl ResponseLateness {
    /// Classifies a response by the time it took, or a stream by its event times.
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

    /// Returns the name used in log lines.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::OnTime => "no",
            Self::Response => "answer",
            Self::FirstEvent => "first_event",
            Self::Pause => "pause",
        }
    }
}
