//! Whether a reader knows every claim that is still valid.

use std::time::SystemTime;

use crate::claims::record::TimeMark;
use crate::claims::window::ClaimWindow;
use crate::ids::LogOffset;

/// Which part of the claim stream a reader has missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LogCoverage {
    /// Nothing has been read yet.
    Unread,
    /// No record was missed.
    Complete,
    /// Some records were missed because they had expired.
    Missed {
        /// All missed records have offsets below this one.
        below: LogOffset,
        /// All missed records were appended before this time; `None` if it is unknown.
        before: Option<SystemTime>,
    },
}

impl LogCoverage {
    /// Records that the records with offsets less than `below` were missed.
    pub(super) fn record_missed(&mut self, below: LogOffset) {
        *self = Self::Missed {
            below,
            before: None,
        };
    }

    /// Records a successful read at wall time `now`. All missed records were appended
    /// before that time.
    pub(super) fn observe_read(&mut self, now: SystemTime) {
        match self {
            Self::Unread => *self = Self::Complete,
            Self::Missed { before, .. } if before.is_none() => *before = Some(now),
            Self::Complete | Self::Missed { .. } => {}
        }
    }

    /// Bounds the age of the missed records by the time mark of a later record.
    pub(super) fn observe_mark(&mut self, mark: &TimeMark) {
        match self {
            Self::Missed { below, before } if mark.seen >= *below => {
                let written = before.map_or(mark.written, |time| time.min(mark.written));
                *before = Some(written);
            }
            _ => {}
        }
    }

    /// Returns the time from which no missed claim is valid any more; `None` if it is
    /// unknown.
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
