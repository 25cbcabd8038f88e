//! State machine of one daemon for one lease.

use std::time::{Duration, Instant};

use crate::ids::RecordId;
use crate::lease::record::{FencingNumber, LeaseBody, LeaseEntry, LeaseName, LeaseOwner};
use crate::lease::table::{LeaseJudgement, LeaseTable};
use crate::platform::error::AppendVerdict;
use crate::records::{JUDGING_RULES, LogRecord};

/// Timing of a lease. A third of `duration` is a good value for `renew_after`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Time for which each record keeps the lease.
    pub duration: Duration,
    /// Time from sending a record to sending the next renewal.
    pub renew_after: Duration,
    /// Time from a failed or unconfirmed record to the next one. It differs between
    /// hosts, so that they do not all try at the same moment.
    pub retry_after: Duration,
}

/// Action to take.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseDecision {
    /// Append this acquisition.
    TryAcquire(LogRecord<LeaseBody>),
    /// Append this renewal.
    Renew(LogRecord<LeaseBody>),
    /// The lease is lost: stop the work done under it. Returned once.
    StepDown,
    /// The lease is held, and nothing is to be done before `until`.
    Hold {
        /// Time of the next decision.
        until: Instant,
    },
    /// The lease is not held, and nothing is to be done before `until`.
    Wait {
        /// Time of the next decision.
        until: Instant,
    },
}

/// The daemon's state for one lease.
#[derive(Debug)]
pub struct LeaseMachine {
    name: LeaseName,
    owner: LeaseOwner,
    terms: LeaseTerms,
    state: LeaseState,
    /// Records that were sent and are not replayed yet.
    pending: Vec<PendingRecord>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseState {
    Idle { try_at: Instant },
    Holding(HeldTerm),
    Released,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeldTerm {
    fencing: FencingNumber,
    until: Instant,
    renew_at: Instant,
}

#[derive(Debug)]
struct PendingRecord {
    id: RecordId,
    /// Time before the append was sent.
    sent_at: Instant,
}

impl LeaseMachine {
    /// Creates a machine that tries to hold the lease from `now` on.
    pub fn new(name: LeaseName, owner: LeaseOwner, terms: LeaseTerms, now: Instant) -> Self {
        Self {
            name,
            owner,
            terms,
            state: LeaseState::Idle { try_at: now },
            pending: Vec::new(),
        }
    }

    /// Returns the fencing number for an order that takes at most `longest_order`, if
    /// this daemon holds the lease for that long.
    ///
    /// Call this immediately before each order. A daemon does not notice that it was
    /// frozen, and without this check it could give an order that conflicts with one of
    /// the next holder.
    pub fn may_act(&self, now: Instant, longest_order: Duration) -> Option<FencingNumber> {
        match self.state {
            LeaseState::Holding(term) if now + longest_order < term.until => Some(term.fencing),
            _ => None,
        }
    }

    /// Returns whether a record of this daemon may still be judged.
    pub fn awaits_judgement(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Decides what to do now. `id` is a new record id, used if a record is to be
    /// appended. The record must be sent after `now`.
    pub fn decide(&mut self, table: &LeaseTable, id: RecordId, now: Instant) -> LeaseDecision {
        self.pending
            .retain(|record| now < record.sent_at + self.terms.duration);
        match self.state {
            LeaseState::Holding(term) if now >= term.until || self.is_replaced(term, table) => {
                self.state = LeaseState::Idle { try_at: now };
                // A renewal still in flight must not restore the lease, because the work
                // done under it has been stopped.
                self.pending.clear();
                LeaseDecision::StepDown
            }
            LeaseState::Holding(term) if now >= term.renew_at => {
                let renew_at = now + self.terms.retry_after;
                self.state = LeaseState::Holding(HeldTerm { renew_at, ..term });
                let entry = LeaseEntry::Renew {
                    fencing: term.fencing,
                    duration: self.terms.duration,
                };
                LeaseDecision::Renew(self.send(id, entry, table, now))
            }
            LeaseState::Holding(term) => LeaseDecision::Hold {
                until: term.renew_at.min(term.until),
            },
            LeaseState::Idle { try_at } => self.try_acquire(try_at, table, id, now),
            LeaseState::Released => LeaseDecision::Wait {
                until: now + self.terms.duration,
            },
        }
    }

    /// Applies the judgement of a record of this daemon at its offset.
    pub fn observe_judgement(
        &mut self,
        id: &RecordId,
        offset: FencingNumber,
        judgement: LeaseJudgement,
    ) {
        let Some(index) = self.pending.iter().position(|record| record.id == *id) else {
            return;
        };
        let record = self.pending.swap_remove(index);
        if judgement != LeaseJudgement::Accepted {
            return;
        }
        // The duration counts from before the append was sent, because other hosts may
        // count from any moment after that.
        let until = record.sent_at + self.terms.duration;
        let renew_at = record.sent_at + self.terms.renew_after;
        match self.state {
            LeaseState::Idle { .. } => {
                let fencing = offset;
                self.state = LeaseState::Holding(HeldTerm {
                    fencing,
                    until,
                    renew_at,
                });
            }
            LeaseState::Holding(term) => {
                self.state = LeaseState::Holding(HeldTerm {
                    until: until.max(term.until),
                    renew_at,
                    ..term
                });
            }
            LeaseState::Released => {}
        }
    }

    /// Processes a failed append. A record that may have been stored stays pending until
    /// it could no longer keep the lease.
    pub fn observe_append_failure(&mut self, id: &RecordId, verdict: AppendVerdict) {
        if verdict == AppendVerdict::NotAppended {
            self.pending.retain(|record| record.id != *id);
        }
    }

    /// Stops acting and returns the record that lets another daemon begin at once.
    ///
    /// Call this once no order is in flight. If the lease is not held, there is nothing
    /// to append.
    pub fn release(
        &mut self,
        table: &LeaseTable,
        id: RecordId,
        now: Instant,
    ) -> Option<LogRecord<LeaseBody>> {
        let fencing = self.may_act(now, Duration::ZERO);
        self.state = LeaseState::Released;
        self.pending.clear();
        let entry = LeaseEntry::Release { fencing: fencing? };
        Some(self.record(id, entry, table))
    }

    fn try_acquire(
        &mut self,
        try_at: Instant,
        table: &LeaseTable,
        id: RecordId,
        now: Instant,
    ) -> LeaseDecision {
        let pending_until = self
            .pending
            .iter()
            .map(|record| record.sent_at + self.terms.duration)
            .max();
        let Some(free_at) = table.free_at(&self.name) else {
            return LeaseDecision::Wait {
                until: now + self.terms.retry_after,
            };
        };
        let until = free_at.max(try_at).max(pending_until.unwrap_or(now));
        if now < until {
            return LeaseDecision::Wait { until };
        }
        let try_at = now + self.terms.retry_after;
        self.state = LeaseState::Idle { try_at };
        let duration = self.terms.duration;
        LeaseDecision::TryAcquire(self.send(id, LeaseEntry::Acquire { duration }, table, now))
    }

    /// Returns whether the log shows another holder. With clock rates within the margin
    /// this happens only after the lease has expired here.
    fn is_replaced(&self, term: HeldTerm, table: &LeaseTable) -> bool {
        let holder = table.holder(&self.name);
        !table.is_judgeable() || holder.is_some_and(|holder| holder.fencing > term.fencing)
    }

    fn send(
        &mut self,
        id: RecordId,
        entry: LeaseEntry,
        table: &LeaseTable,
        now: Instant,
    ) -> LogRecord<LeaseBody> {
        self.pending.push(PendingRecord {
            id: id.clone(),
            sent_at: now,
        });
        self.record(id, entry, table)
    }

    fn record(&self, id: RecordId, entry: LeaseEntry, table: &LeaseTable) -> LogRecord<LeaseBody> {
        LogRecord {
            id,
            rules: JUDGING_RULES,
            writer: self.owner.host.clone(),
            incarnation: self.owner.incarnation,
            body: LeaseBody {
                name: self.name.clone(),
                seen: table.next_offset(),
                entry,
            },
        }
    }
}
