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

/// Distance of two moments at which the log was read, as another host tells them, from which
/// on it was lost in between. Readers read every 0.6 s, and one read may be passed over.
const MIN_RELAYED_GAP: Duration = Duration::from_millis(1500);

/// A time through which the log was read without a gap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LogSpan {
    since: Instant,
    read: Instant,
}

/// What this host has had of the log.
#[derive(Debug, Clone, Copy)]
struct OwnReads {
    /// The first read ever.
    first: Instant,
    /// From the end of the last gap, or the first read, to the last read.
    span: LogSpan,
    /// Since when no read has been missed for as long as a heartbeat.
    run_since: Instant,
    /// The last read of a run that was long enough for each target to write in it.
    steady: Instant,
    /// The last gap.
    gap: Option<LogGap>,
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
    expiry: Duration,
    own: Option<OwnReads>,
    zones: FastMap<ZoneId, LogSpan>,
}

impl LogContinuity {
    /// Sets the time without the log after which entries may have lapsed.
    pub fn set_expiry(&mut self, expiry: Duration) {
        self.expiry = expiry;
    }

    /// This host has read the log itself. Gives the gap in which entries that this read
    /// lacks may have lapsed: the one that ends with it, if reads were tried in vain (a host
    /// that merely stood still has no outage to doubt).
    ///
    /// An entry lapses three heartbeats after the last one, which came up to one before the
    /// log was away. After a gap shorter than that it can lapse when the log is back, so that
    /// later reads belong to the gap for as long.
    ///
    /// The log can be away twice with a moment between: a target whose heartbeat does not
    /// fall into that moment has no chance to write from the first outage on, and loses its
    /// entry in the second one, however short that is. Both are one gap then.
    pub fn observe_read(&mut self, read: Instant, was_lost: bool) -> Option<LogGap> {
        let expiry = self.expiry;
        let own = self.own.get_or_insert(OwnReads {
            first: read,
            span: LogSpan { since: read, read },
            run_since: read,
            steady: read,
            gap: None,
        });
        let distance = read.saturating_duration_since(own.span.read);
        own.span.read = own.span.read.max(read);
        // Entries lapse after two heartbeats without the log at the earliest.
        let heartbeat = expiry / 2;
        let breaks = distance >= expiry || (was_lost && distance >= heartbeat);
        if !breaks {
            if read.saturating_duration_since(own.run_since) >= heartbeat {
                own.steady = own.steady.max(read);
            }
            let lasts = |gap: &LogGap| gap.from.is_some_and(|from| read < from + expiry * 2);
            return own.gap.filter(lasts);
        }
        own.run_since = read;
        if read.saturating_duration_since(own.steady) < expiry {
            return None;
        }
        own.span.since = read;
        own.gap = was_lost.then_some(LogGap {
            from: Some(own.steady),
            until: read,
        });
        own.gap
    }

    /// The last gap of this host.
    pub fn last_gap(&self) -> Option<LogGap> {
        self.own.and_then(|own| own.gap)
    }

    /// Another host of the zone tells what stood in the log at that moment; as with an own
    /// read.
    pub fn observe_relayed_read(&mut self, read: Instant) -> Option<LogGap> {
        let before = self.last_read();
        let was_lost = before.is_some_and(|before| read >= before + MIN_RELAYED_GAP);
        self.observe_read(read, was_lost)
    }

    /// How long ago this host began to have the log without a break, and when it last did.
    pub fn ages(&self, now: Instant) -> Option<LogAges> {
        self.own.map(|own| LogAges {
            since: now.saturating_duration_since(own.span.since),
            read: now.saturating_duration_since(own.span.read),
        })
    }

    /// How long ago this host first had the log, and last had it.
    pub fn followed(&self, now: Instant) -> Option<FollowedLog> {
        self.own.map(|own| FollowedLog {
            first: now.saturating_duration_since(own.first),
            read: now.saturating_duration_since(own.span.read),
        })
    }

    /// Since when this host has had the log without a break of a heartbeat or more.
    pub fn run_since(&self) -> Option<Instant> {
        self.own.map(|own| own.run_since)
    }

    /// When this host last had the log.
    pub fn last_read(&self) -> Option<Instant> {
        self.own.map(|own| own.span.read)
    }

    /// A host of a zone tells since when it has had the log.
    ///
    /// Hosts tell of themselves only: passed on from host to host and back, each word would
    /// come back a little younger than it is, and a zone without the log would seem to have
    /// it.
    pub fn observe_ages(&mut self, zone: &ZoneId, ages: LogAges, now: Instant) {
        let moments = now.checked_sub(ages.since).zip(now.checked_sub(ages.read));
        let Some((since, read)) = moments else {
            return;
        };
        let reported = LogSpan { since, read };
        let expiry = self.expiry;
        let known = self.zones.entry(zone.clone()).or_insert(reported);
        let joined = reported.since < known.read + expiry && known.since < reported.read + expiry;
        match joined {
            true => {
                known.since = known.since.min(reported.since);
                known.read = known.read.max(reported.read);
            }
            false if reported.read > known.read => *known = reported,
            false => {}
        }
    }

    /// Whether hosts of a zone are known to have had the log through a gap of this host, so
    /// that no target of that zone lost its entry for want of the log.
    pub fn had_log(&self, zone: &str, gap: LogGap) -> bool {
        let span = self.zones.get(zone).zip(gap.from);
        span.is_some_and(|(span, from)| span.since <= from && span.read + self.expiry > gap.until)
    }
}
