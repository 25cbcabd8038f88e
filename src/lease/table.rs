//! Judges the records of the lease stream with the same result on every host.
//!
//! A record is void if any record of the same name lies between the offset that its
//! writer had seen and the record itself. The judgement depends only on this range of the
//! log, so a host that starts after older records have expired judges like hosts that
//! have read them.

use std::time::{Duration, Instant};

use crate::collections::FastMap;
use crate::ids::{LogOffset, RecordId};
use crate::lease::record::{
    FencingNumber, LeaseBody, LeaseEntry, LeaseName, LeaseOwner, MAX_LEASE_DURATION,
};
use crate::records::{JUDGING_RULES, LogRecord, RawRecord};

/// Margin for clocks that run at different rates.
///
/// With rates within `1 - r` and `1 + r` of true time, the margin must be at least `2r /
/// (1 - r)`, because the holder's clock may be the slowest and the observer's the
/// fastest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockMargin {
    /// Added to every duration that is waited out, in percent.
    pub percent: u32,
}

impl ClockMargin {
    /// Returns how long to wait for another host's lease to expire.
    pub fn stretch(self, duration: Duration) -> Duration {
        duration + duration * self.percent / 100
    }
}

/// The leases that one host knows from the log.
#[derive(Debug, Clone)]
pub struct LeaseTable {
    margin: ClockMargin,
    next_offset: LogOffset,
    /// Offset below which records were missed, because they had expired.
    missed_below: LogOffset,
    /// Time until which missed records may still keep a lease; `None` until the first
    /// read.
    missed_until: Option<Instant>,
    /// Whether a record was read that this program cannot judge.
    unjudgeable: bool,
    leases: FastMap<LeaseName, KnownLease>,
}

#[derive(Debug, Clone)]
struct KnownLease {
    /// Offset of the last record of this name, including void ones.
    last_record: LogOffset,
    holder: Option<LeaseHolder>,
    /// Time until which a holder may act, by this host's clock.
    busy_until: Instant,
}

/// Holder of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseHolder {
    /// The daemon that holds the lease.
    pub owner: LeaseOwner,
    /// Fencing number of the lease.
    pub fencing: FencingNumber,
}

/// Judgement of a record: the result of applying it under the judging rules of this
/// program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseJudgement {
    /// The record took effect.
    Accepted,
    /// The record took no effect: its writer had not seen the latest record, the duration
    /// is too long, or the text is not a record.
    Void,
    /// Records that the writer had seen were missed here, so that the record may have
    /// taken effect.
    Unclear,
    /// The record was already judged.
    Repeated,
    /// The record requires rules that this program does not know.
    UnknownRules,
}

/// A record's id, as far as it could be read, and its judgement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JudgedLease {
    /// The record's id.
    pub id: Option<RecordId>,
    /// The judgement.
    pub judgement: LeaseJudgement,
}

impl LeaseTable {
    /// Creates an empty table, to be filled from offset zero on.
    pub fn new(margin: ClockMargin) -> Self {
        Self {
            margin,
            next_offset: 0,
            missed_below: 0,
            missed_until: None,
            unjudgeable: false,
            leases: FastMap::default(),
        }
    }

    /// Processes a successful read before its records are applied.
    ///
    /// If records expired before they were read, they may still keep a lease. Such a
    /// lease expires in time unless a record renews it, which will be read.
    pub fn observe_read(&mut self, first_offset: LogOffset, now: Instant) {
        if first_offset > self.next_offset {
            self.next_offset = first_offset;
            self.mark_missed(first_offset, now);
        }
        self.missed_until.get_or_insert(now);
    }

    /// Judges the text of the record at `offset`, which was read at `seen_at`. Text that
    /// is not a record is void for all readers.
    pub fn apply_raw(&mut self, offset: LogOffset, text: &str, seen_at: Instant) -> JudgedLease {
        match RawRecord::read(text) {
            RawRecord::Known(record) => JudgedLease {
                judgement: self.apply(offset, &record, seen_at),
                id: Some(record.id),
            },
            unjudged => JudgedLease {
                judgement: self.skip(offset, unjudged == RawRecord::NewerRules, seen_at),
                id: None,
            },
        }
    }

    /// Judges the record at `offset`, which was read at `seen_at`. Records are applied in
    /// the order of the log.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        record: &LogRecord<LeaseBody>,
        seen_at: Instant,
    ) -> LeaseJudgement {
        if record.rules > JUDGING_RULES {
            return self.skip(offset, true, seen_at);
        }
        if !self.advance(offset, seen_at) {
            return LeaseJudgement::Repeated;
        }
        let body = &record.body;
        let margin = self.margin;
        let unclear = body.seen < self.missed_below;
        let known = self.leases.get(&body.name);
        let is_outdated = known.is_some_and(|lease| lease.last_record >= body.seen);
        let lease = self
            .leases
            .entry(body.name.clone())
            .or_insert_with(|| KnownLease::new(seen_at));
        lease.last_record = offset;
        match () {
            () if is_outdated || !body.entry.is_valid() => LeaseJudgement::Void,
            () if unclear => {
                lease.extend_busy(&body.entry, margin, seen_at);
                LeaseJudgement::Unclear
            }
            () => {
                let owner = LeaseOwner::of(record);
                lease.accept(offset, owner, &body.entry, margin, seen_at);
                LeaseJudgement::Accepted
            }
        }
    }

    /// Returns the offset to apply next.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns the holder of a lease, as far as the log was read. The lease may have
    /// expired.
    pub fn holder(&self, name: &LeaseName) -> Option<&LeaseHolder> {
        self.leases.get(name)?.holder.as_ref()
    }

    /// Returns whether every record so far could be judged.
    pub fn is_judgeable(&self) -> bool {
        !self.unjudgeable
    }

    /// Returns the time from which a lease may be acquired, by this host's clock; `None`
    /// if that is unknown.
    pub fn free_at(&self, name: &LeaseName) -> Option<Instant> {
        if self.unjudgeable {
            return None;
        }
        let missed_until = self.missed_until?;
        let busy_until = self.leases.get(name).map(|lease| lease.busy_until);
        Some(busy_until.map_or(missed_until, |time| time.max(missed_until)))
    }

    /// Advances to the record at `offset`. Returns false if that was applied before.
    fn advance(&mut self, offset: LogOffset, seen_at: Instant) -> bool {
        if offset < self.next_offset {
            return false;
        }
        if offset > self.next_offset {
            self.mark_missed(offset, seen_at);
        }
        self.next_offset = offset + 1;
        true
    }

    fn skip(&mut self, offset: LogOffset, newer_rules: bool, seen_at: Instant) -> LeaseJudgement {
        if !self.advance(offset, seen_at) {
            return LeaseJudgement::Repeated;
        }
        self.unjudgeable |= newer_rules;
        match newer_rules {
            true => LeaseJudgement::UnknownRules,
            false => LeaseJudgement::Void,
        }
    }

    fn mark_missed(&mut self, below: LogOffset, now: Instant) {
        self.missed_below = below;
        self.missed_until = Some(now + self.margin.stretch(MAX_LEASE_DURATION));
        for lease in self.leases.values_mut() {
            lease.holder = None;
        }
    }
}

impl LeaseEntry {
    fn is_valid(&self) -> bool {
        match self {
            Self::Acquire { duration } | Self::Renew { duration, .. } => {
                *duration <= MAX_LEASE_DURATION
            }
            Self::Release { .. } => true,
        }
    }
}

impl KnownLease {
    fn new(seen_at: Instant) -> Self {
        Self {
            last_record: 0,
            holder: None,
            busy_until: seen_at,
        }
    }

    /// Executes a record that is not void. Its writer had seen all earlier records of the
    /// name, so it knew the holder even if this host missed those records.
    fn accept(
        &mut self,
        offset: LogOffset,
        owner: LeaseOwner,
        entry: &LeaseEntry,
        margin: ClockMargin,
        seen_at: Instant,
    ) {
        let fencing = match entry {
            LeaseEntry::Acquire { .. } => offset,
            LeaseEntry::Renew { fencing, .. } => *fencing,
            LeaseEntry::Release { .. } => {
                self.holder = None;
                self.busy_until = seen_at;
                return;
            }
        };
        self.holder = Some(LeaseHolder { owner, fencing });
        self.extend_busy(entry, margin, seen_at);
    }

    /// Extends the time for which the writer of a record may act.
    fn extend_busy(&mut self, entry: &LeaseEntry, margin: ClockMargin, seen_at: Instant) {
        match entry {
            LeaseEntry::Acquire { duration } | LeaseEntry::Renew { duration, .. } => {
                let expires = seen_at + margin.stretch(*duration);
                self.busy_until = self.busy_until.max(expires);
            }
            LeaseEntry::Release { .. } => {}
        }
    }
}
