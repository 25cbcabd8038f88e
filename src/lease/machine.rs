//! What one daemon does about one lease.

use std::time::{Duration, Instant};

use crate::ids::RecordId;
use crate::lease::record::{FencingNumber, LeaseBody, LeaseEntry, LeaseName, LeaseOwner};
use crate::lease::table::{LeaseJudgement, LeaseTable};
use crate::platform::error::AppendVerdict;
use crate::records::{JUDGING_RULES, LogRecord};

/// Times of a lease. Of `duration`, a third or so is a good `renew_after`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// For how long each record keeps the lease.
    pub duration: Duration,
    /// How long after a record was sent the next renewal is sent.
    pub renew_after: Duration,
    /// How long after a failed or unconfirmed record another is sent. Differs
    /// between hosts, so that they do not all try at the same moment.
    pub retry_after: Duration,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseDecision {
    /// Append this acquisition.
    TryAcquire(LogRecord<LeaseBody>),
    /// Append this renewal.
    Renew(LogRecord<LeaseBody>),
    /// The lease is lost: give up what is done under it. Given once.
    StepDown,
    /// The lease is held; nothing to do before the given time.
    Hold {
        /// When to decide again.
        until: Instant,
    },
    /// The lease is not held; nothing to do before the given time.
    Wait {
        /// When to decide again.
        until: Instant,
    },
}

/// The daemon's state about one lease.
#[derive(Debug)]
pub struct LeaseMachine {
    name: LeaseName,
    owner: LeaseOwner,
    terms: LeaseTerms,
    state: LeaseState,
    /// Records that were sent and have not been replayed.
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
    /// Before the append was sent.
    sent_at: Instant,
}

impl LeaseMachine {
    /// A machine that tries to hold the lease from `now` on.
    pub fn new(name: LeaseName, owner: LeaseOwner, terms: LeaseTerms, now: Instant) -> Self {
        Self {
            name,
            owner,
            terms,
            state: LeaseState::Idle { try_at: now },
            pending: Vec::new(),
        }
    }

    /// Under which number this daemon may give an order that takes at most
    /// `longest_order`, if it holds the lease for so long.
    ///
    /// To be asked right before each order. A daemon that was frozen does not
    /// notice; an order given without asking would show as two daemons that
    /// order different things.
    pub fn may_act(&self, now: Instant, longest_order: Duration) -> Option<FencingNumber> {
        match self.state {
            LeaseState::Holding(term) if now + longest_order < term.until => Some(term.fencing),
            _ => None,
        }
    }

    /// Whether a record of this daemon may still be judged.
    pub fn awaits_judgement(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Decides what to do now. `id` is a fresh record id, used if a record is
    /// to be appended; that must be sent after `now`.
    pub fn decide(&mut self, table: &LeaseTable, id: RecordId, now: Instant) -> LeaseDecision {
        self.pending
            .retain(|record| now < record.sent_at + self.terms.duration);
        match self.state {
            LeaseState::Holding(term) if now >= term.until || self.is_replaced(term, table) => {
                self.state = LeaseState::Idle { try_at: now };
                // A renewal still under way must not bring the lease back:
                // what was done under it has been given up.
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

    /// Takes in how a record of this daemon was judged at its offset.
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
        // Counted from before the append was sent, since others may count
        // from any moment after that.
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

    /// Takes in that an append failed. One that may have been stored is waited
    /// for until it could not keep the lease any more.
    pub fn observe_append_failure(&mut self, id: &RecordId, verdict: AppendVerdict) {
        if verdict == AppendVerdict::NotAppended {
            self.pending.retain(|record| record.id != *id);
        }
    }

    /// Stops acting, and gives the record that lets another begin at once.
    ///
    /// Call it when no order is under way any more. Without a lease held there
    /// is nothing to append.
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

    /// Whether the log shows another holder. With clocks within the margin
    /// this comes after the lease has lapsed here.
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
