//! Tracks since when hosts have read the log of targets without a gap.

use std::time::{Duration, Instant};

use crate::collections::FastMap;
use crate::ids::ZoneId;
use crate::peer::{FollowedLog, LogAges};

/// A period without the log on this host that is long enough for entries to expire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogGap {
    /// When the log was last read before the gap; `None` if it never was, or if the log was
    /// restored from an older copy, so that no earlier read of any host counts.
    pub from: Option<Instant>,
    /// When the log was read again.
    pub until: Instant,
}

/// Minimum distance between two reads relayed by another host from which on the log counts
/// as lost in between. Readers read every 0.6 s, and one read may be skipped.
const MIN_RELAYED_GAP: Duration = Duration::from_millis(1500);

/// A period in which the log was read without a gap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LogSpan {
    since: Instant,
    read: Instant,
}

/// Reads of the log by this host.
#[derive(Debug, Clone, Copy)]
struct OwnReads {
    /// The first read.
    first: Instant,
    /// From the end of the last gap, or the first read, to the last read.
    span: LogSpan,
    /// Since when no read has been missed for as long as a heartbeat.
    run_since: Instant,
    /// The last read of a run that was long enough for each target to write in it.
    steady_read: Instant,
    /// The last gap.
    gap: Option<LogGap>,
    /// The first failed read since the last read.
    failed_at: Option<Instant>,
    /// First read after the last failed one.
    unfailed_since: Instant,
}

/// Tracks since when this host, and the hosts of each zone, have read the log without a
/// gap.
///
/// The entry of a live target expires if the target cannot write for three heartbeats. A
/// host that reaches the log again cannot tell whether the targets were cut off from it or
/// only the host was. Keeping the targets that are no longer listed sends requests to them
/// seconds after they left; dropping them removes every target of a zone that was cut off.
/// The cases differ in whether a host of the target's own zone had the log meanwhile.
#[derive(Debug, Default)]
pub struct LogContinuity {
    /// Time without the log after which entries may have expired.
    expiry: Duration,
    own: Option<OwnReads>,
    zones: FastMap<ZoneId, LogSpan>,
}

impl LogContinuity {
    /// Sets the time without the log after which entries may have expired.
    pub fn set_expiry(&mut self, expiry: Duration) {
        self.expiry = expiry;
    }

    /// Records a read of the log by this host. Returns the gap in which entries that are
    /// missing from this read may have expired: the gap that ends with it, if reads
    /// failed in it. A pause of this process without a failed read is no such gap.
    ///
    /// An entry expires three heartbeats after the last one, which came up to one heartbeat
    /// before the outage. After a shorter gap it can expire once the log is back, so that
    /// later reads belong to the gap for as long.
    ///
    /// The log can be lost twice with a short time in between. A target whose heartbeat
    /// does not fall into that time cannot write from the first outage on and loses its
    /// entry in the second one, however short that is. Both outages are then one gap.
    pub fn observe_read(&mut self, read: Instant, was_lost: bool) -> Option<LogGap> {
        let expiry = self.expiry;
        let own = self.own.get_or_insert(OwnReads {
            first: read,
            span: LogSpan { since: read, read },
            run_since: read,
            steady_read: read,
            gap: None,
            failed_at: None,
            unfailed_since: read,
        });
        if own.failed_at.is_some_and(|failed_at| read > failed_at) {
            own.failed_at = None;
            own.unfailed_since = read;
        }
        let distance = read.saturating_duration_since(own.span.read);
        own.span.read = own.span.read.max(read);
        // Entries expire after two heartbeats without the log at the earliest.
        let heartbeat = expiry / 2;
        let breaks = distance >= expiry || (was_lost && distance >= heartbeat);
        if !breaks {
            if read.saturating_duration_since(own.run_since) >= heartbeat {
                own.steady_read = own.steady_read.max(read);
            }
            let end = |gap: &LogGap| match gap.from {
                Some(from) => from + expiry * 2,
                // The older copy holds heartbeats that were outdated when it returned.
                None => gap.until + expiry,
            };
            return own.gap.filter(|gap| read < end(gap));
        }
        own.run_since = read;
        if read.saturating_duration_since(own.steady_read) < expiry {
            return None;
        }
        own.span.since = read;
        own.gap = was_lost.then_some(LogGap {
            from: Some(own.steady_read),
            until: read,
        });
        own.gap
    }

    /// Records the first failed read of this host after a successful one. However short the
    /// loss was, no target could return during it.
    pub fn observe_failed_read(&mut self, now: Instant) {
        if let Some(own) = &mut self.own {
            own.failed_at.get_or_insert(now);
        }
    }

    /// Records a read that shows that the log was restored from an older copy; returns the
    /// gap that ends with it, unless the log was never read before. The reads that other
    /// hosts have reported were of the log before the restore.
    pub fn observe_restore(&mut self, read: Instant) -> Option<LogGap> {
        self.zones.clear();
        let own = self.own.as_mut()?;
        own.span.since = own.span.since.max(read);
        own.run_since = own.run_since.max(read);
        own.gap = Some(LogGap {
            from: None,
            until: read,
        });
        own.gap
    }

    /// Returns the last gap of this host.
    pub fn last_gap(&self) -> Option<LogGap> {
        self.own.and_then(|own| own.gap)
    }

    /// Records a read by another host of the zone that relays the log, and returns the
    /// gap that ends with it, like [`LogContinuity::observe_read`].
    pub fn observe_relayed_read(&mut self, read: Instant) -> Option<LogGap> {
        let before = self.last_read();
        let was_lost = before.is_some_and(|before| read >= before + MIN_RELAYED_GAP);
        self.observe_read(read, was_lost)
    }

    /// Returns how long ago the current gapless period of this host began, and its last
    /// read.
    pub fn ages(&self, now: Instant) -> Option<LogAges> {
        self.own.map(|own| LogAges {
            since: now.saturating_duration_since(own.span.since),
            read: now.saturating_duration_since(own.span.read),
        })
    }

    /// Returns how long ago this host first read the log, and last read it.
    pub fn followed(&self, now: Instant) -> Option<FollowedLog> {
        self.own.map(|own| FollowedLog {
            first: now.saturating_duration_since(own.first),
            read: now.saturating_duration_since(own.span.read),
        })
    }

    /// Returns since when this host has read the log without a failed read, and without a
    /// break of a heartbeat or more.
    pub fn run_since(&self) -> Option<Instant> {
        self.own.map(|own| own.run_since.max(own.unfailed_since))
    }

    /// Returns when this host last read the log.
    pub fn last_read(&self) -> Option<Instant> {
        self.own.map(|own| own.span.read)
    }

    /// Records the report of a host in `zone` on its own reads of the log.
    ///
    /// Hosts report only their own reads: a report that is relayed back and forth would
    /// return slightly younger than it is, and a zone without the log would seem to have
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

    /// Returns whether hosts of a zone are known to have had the log throughout a gap of
    /// this host, so that no target of that zone lost its entry for lack of the log.
    pub fn had_log(&self, zone: &str, gap: LogGap) -> bool {
        let span = self.zones.get(zone).zip(gap.from);
        span.is_some_and(|(span, from)| span.since <= from && span.read + self.expiry > gap.until)
    }
}
