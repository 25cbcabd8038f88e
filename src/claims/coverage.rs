//! Whether a reader knows every claim that still counts.

use std::time::SystemTime;

use crate::claims::record::TimeMark;
use crate::claims::window::ClaimWindow;
use crate::ids::LogOffset;

/// What a reader has missed of the claim stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LogCoverage {
    /// Nothing has been read yet.
    Unread,
    /// Nothing was missed.
    Complete,
    /// Some records were missed, because they had expired.
    Missed {
        /// All missed records are below this offset.
        below: LogOffset,
        /// All missed records were appended before this; `None` if unknown.
        before: Option<SystemTime>,
    },
}

impl LogCoverage {
    /// Notes that records below `below` were missed.
    pub(super) fn record_missed(&mut self, below: LogOffset) {
        *self = Self::Missed {
            below,
            before: None,
        };
    }

    /// Notes that a read succeeded at wall time `now`: what was missed has
    /// been appended by then.
    pub(super) fn observe_read(&mut self, now: SystemTime) {
        match self {
            Self::Unread => *self = Self::Complete,
            Self::Missed { before, .. } if before.is_none() => *before = Some(now),
            Self::Complete | Self::Missed { .. } => {}
        }
    }

    /// Learns from a record's time mark how old the missed records are.
    pub(super) fn observe_mark(&mut self, mark: &TimeMark) {
        match self {
            Self::Missed { below, before } if mark.seen >= *below => {
                let written = before.map_or(mark.written, |time| time.min(mark.written));
                *before = Some(written);
            }
            _ => {}
        }
    }

    /// From when on no missed claim counts; `None` if that is not known.
    pub(super) fn complete_at(&self, window: &ClaimWindow) -> Option<SystemTime> {
        match self {
            Self::Unread | Self::Missed { before: None, .. } => None,
            Self::Complete => Some(SystemTime::UNIX_EPOCH),
            Self::Missed {
                before: Some(before),
                ..
            } => Some(window.all_expired_at(*before)),
        }
    }
}
