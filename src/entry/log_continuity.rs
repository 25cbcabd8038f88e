//! Since when hosts have had the log of targets without a break.

use std::time::{Duration, Instant};

use crate::collections::FastMap;
use crate::ids::ZoneId;
use crate::peer::{FollowedLog, LogAges};

/// A time in which this host did not have the log, long enough for entries to lapse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogGap {
    /// When the log was last read before; `None` if it never was.
    pub from: Option<Instant>,
    /// When it was read again.
    pub until: Instant,
}

/// A time in which the log was read again and again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LogSpan {
    since: Instant,
    read: Instant,
}

/// Since when this host, and the hosts of each zone, have had the log without a break.
///
/// Targets that cannot write for three heartbeats lose their entries and live. A host that
/// comes back to the log cannot tell whether the targets were cut off from it or only the
/// host was. To keep whatever it does not list any more sends requests to targets seconds
/// after they left; to drop it takes away every target of a zone that was cut off. What
/// tells the two apart is whether a host of the target's own zone had the log meanwhile.
#[derive(Debug, Default)]
pub struct LogContinuity {
    /// Time without the log after which entries may have lapsed.
    lapse: Duration,
    /// When this host first had the log.
    first: Option<Instant>,
    own: Option<LogSpan>,
    zones: FastMap<ZoneId, LogSpan>,
}

impl LogContinuity {
    /// Sets the time without the log after which entries may have lapsed.
    pub fn set_lapse(&mut self, lapse: Duration) {
        self.lapse = lapse;
    }

    /// This host has what stood in the log at that moment, read by itself or passed on by a
    /// host of its zone. Gives the gap that ends with this read, if there is one and reads
    /// were tried in it in vain: a host that merely stood still has no outage to doubt.
    pub fn observe_read(&mut self, read: Instant, was_lost: bool) -> Option<LogGap> {
        let Some(own) = &mut self.own else {
            self.first = Some(read);
            self.own = Some(LogSpan { since: read, read });
            return None;
        };
        if read <= own.read {
            return None;
        }
        let from = std::mem::replace(&mut own.read, read);
        if read - from < self.lapse {
            return None;
        }
        own.since = read;
        was_lost.then_some(LogGap {
            from: Some(from),
            until: read,
        })
    }

    /// How long ago this host began to have the log without a break, and when it last did.
    pub fn ages(&self, now: Instant) -> Option<LogAges> {
        self.own.map(|own| LogAges {
            since: now.saturating_duration_since(own.since),
            read: now.saturating_duration_since(own.read),
        })
    }

    /// How long ago this host first had the log, and last had it.
    pub fn followed(&self, now: Instant) -> Option<FollowedLog> {
        let (first, own) = self.first.zip(self.own)?;
        Some(FollowedLog {
            first: now.saturating_duration_since(first),
            read: now.saturating_duration_since(own.read),
        })
    }

    /// When this host last had the log.
    pub fn last_read(&self) -> Option<Instant> {
        self.own.map(|own| own.read)
    }

    /// A host of a zone tells since when it has had the log.
    ///
    /// Hosts tell of themselves only: passed on from host to host and back, each word would
    /// come back a little younger than it is, and a zone without the log would seem to have
    /// it.
    pub fn observe_word(&mut self, zone: &ZoneId, ages: LogAges, now: Instant) {
        let moments = now.checked_sub(ages.since).zip(now.checked_sub(ages.read));
        let Some((since, read)) = moments else {
            return;
        };
        let told = LogSpan { since, read };
        let lapse = self.lapse;
        let known = self.zones.entry(zone.clone()).or_insert(told);
        let joined = told.since < known.read + lapse && known.since < told.read + lapse;
        match joined {
            true => {
                known.since = known.since.min(told.since);
                known.read = known.read.max(told.read);
            }
            false if told.read > known.read => *known = told,
            false => {}
        }
    }

    /// Whether hosts of a zone are known to have had the log through a gap of this host, so
    /// that no target of that zone lost its entry for want of the log.
    pub fn had_log(&self, zone: &str, gap: LogGap) -> bool {
        let span = self.zones.get(zone).zip(gap.from);
        span.is_some_and(|(span, from)| span.since <= from && span.read + self.lapse > gap.until)
    }
}
