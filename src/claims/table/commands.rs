//! Operations that change the table.

use std::collections::hash_map::Entry;
use std::time::SystemTime;

use super::{
    ClaimHolder, ClaimJudgement, ClaimStatus, ClaimTable, HeldKey, JudgedClaim, KnownClaim,
};
use crate::claims::record::{
    ClaimBody, ClaimDetails, ClaimEntry, ClaimOutcome, ClaimOwner, ClaimRef,
};
use crate::ids::{LogOffset, RecordId};
use crate::records::{JUDGING_RULES, LogRecord, RawRecord};

impl ClaimTable {
    /// Records a successful read at wall time `now`, before its records are applied.
    /// Records that expired before they were read count as missed.
    pub fn observe_read(&mut self, first_offset: LogOffset, now: SystemTime) {
        if first_offset > self.next_offset {
            self.next_offset = first_offset;
            self.coverage.record_missed(first_offset);
        }
        self.coverage.observe_read(now);
    }

    /// Applies the text of the record at an offset. Every reader ignores text that is not
    /// a record.
    pub fn apply_raw(&mut self, offset: LogOffset, text: &str) -> JudgedClaim {
        match RawRecord::read(text) {
            RawRecord::Known(record) => JudgedClaim {
                judgement: self.apply(offset, &record),
                id: Some(record.id),
            },
            unreadable => JudgedClaim {
                judgement: self.skip(offset, unreadable == RawRecord::NewerRules),
                id: None,
            },
        }
    }

    /// Applies the record at an offset. Records must be applied in log order.
    pub fn apply(&mut self, offset: LogOffset, record: &LogRecord<ClaimBody>) -> ClaimJudgement {
        if record.rules > JUDGING_RULES {
            return self.skip(offset, true);
        }
        if !self.advance(offset) {
            return ClaimJudgement::Repeated;
        }
        let mark = &record.body.mark;
        self.coverage.observe_mark(mark);
        self.last_mark = self.last_mark.max(mark.written);
        let owner = ClaimOwner {
            host: record.writer.clone(),
            incarnation: record.incarnation,
        };
        match &record.body.entry {
            ClaimEntry::Claim(details) => self.apply_claim(&record.id, owner, details),
            ClaimEntry::Withdraw(claim) => self.apply_withdrawal(owner, claim),
            ClaimEntry::Outcome { claim, outcome } => self.apply_outcome(&owner, claim, outcome),
            ClaimEntry::Mark => ClaimJudgement::Marked,
        }
    }

    /// Removes claims on keys that are too old to be accepted again.
    pub fn prune(&mut self, now: SystemTime) {
        let oldest = self.window.prune_before(now);
        self.pruned_before = self.pruned_before.max(oldest);
        while let Some((created, claim)) = self.by_age.pop_first() {
            if created >= self.pruned_before {
                self.by_age.insert((created, claim));
                return;
            }
            if let Some(KnownClaim {
                status: ClaimStatus::Holds(name),
                ..
            }) = self.claims.remove(&claim)
            {
                self.holders.remove(&name);
            }
        }
    }

    /// Advances to the record at an offset; returns `false` if it was applied before.
    fn advance(&mut self, offset: LogOffset) -> bool {
        if offset < self.next_offset {
            return false;
        }
        if offset > self.next_offset {
            self.coverage.record_missed(offset);
        }
        self.next_offset = offset + 1;
        true
    }

    fn skip(&mut self, offset: LogOffset, newer_rules: bool) -> ClaimJudgement {
        if !self.advance(offset) {
            return ClaimJudgement::Repeated;
        }
        self.saw_newer_rules |= newer_rules;
        match newer_rules {
            true => ClaimJudgement::UnknownRules,
            false => ClaimJudgement::Ignored,
        }
    }

    fn apply_claim(
        &mut self,
        claim: &RecordId,
        owner: ClaimOwner,
        details: &ClaimDetails,
    ) -> ClaimJudgement {
        match self.claims.get(claim) {
            // The withdrawal was appended before the claim, whose append was still in
            // progress when its writer gave up. The caller got the response that the
            // request did not run, so the claim must not block the key.
            Some(known) if known.status == ClaimStatus::Withdrawn => {
                return ClaimJudgement::AlreadyWithdrawn;
            }
            Some(_) => return ClaimJudgement::Repeated,
            None if details.created < self.pruned_before => return ClaimJudgement::TooOld,
            None => {}
        }
        let held = HeldKey {
            holder: ClaimHolder {
                claim: claim.clone(),
                owner: owner.clone(),
                request: details.request.clone(),
            },
            fingerprint: details.fingerprint,
            outcome: None,
        };
        let (status, judgement) = match self.holders.entry(details.name.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(held);
                let status = ClaimStatus::Holds(details.name.clone());
                (status, ClaimJudgement::Won)
            }
            Entry::Occupied(entry) => {
                let existing = entry.get();
                let judgement = ClaimJudgement::Lost {
                    mismatched: existing.fingerprint != details.fingerprint,
                    holder: existing.holder.clone(),
                };
                (ClaimStatus::Lost, judgement)
            }
        };
        self.track(claim, details.created, KnownClaim { owner, status });
        judgement
    }

    fn apply_withdrawal(&mut self, owner: ClaimOwner, claim: &ClaimRef) -> ClaimJudgement {
        let status = ClaimStatus::Withdrawn;
        let Some(known) = self.claims.get_mut(&claim.claim) else {
            let known = KnownClaim { owner, status };
            self.track(&claim.claim, claim.created, known);
            return ClaimJudgement::Settled;
        };
        if known.owner != owner {
            return ClaimJudgement::Ignored;
        }
        match &known.status {
            ClaimStatus::Holds(name) if self.holders.get(name).is_some_and(HeldKey::has_ended) => {
                return ClaimJudgement::Ignored;
            }
            ClaimStatus::Holds(name) => {
                self.holders.remove(name);
                known.status = status;
            }
            ClaimStatus::Lost | ClaimStatus::Withdrawn => {}
        }
        ClaimJudgement::Settled
    }

    fn apply_outcome(
        &mut self,
        owner: &ClaimOwner,
        claim: &ClaimRef,
        outcome: &ClaimOutcome,
    ) -> ClaimJudgement {
        let Some(known) = self.claims.get(&claim.claim) else {
            return ClaimJudgement::Ignored;
        };
        let ClaimStatus::Holds(name) = &known.status else {
            return ClaimJudgement::Ignored;
        };
        match self.holders.get_mut(name) {
            Some(held) if known.owner == *owner => {
                held.outcome.get_or_insert_with(|| outcome.clone());
                ClaimJudgement::Settled
            }
            _ => ClaimJudgement::Ignored,
        }
    }

    fn track(&mut self, claim: &RecordId, created: SystemTime, known: KnownClaim) {
        self.by_age.insert((created, claim.clone()));
        self.claims.insert(claim.clone(), known);
    }
}

impl HeldKey {
    fn has_ended(&self) -> bool {
        self.outcome.is_some()
    }
}
