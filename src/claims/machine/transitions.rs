//! State transitions of a claimant.

use std::time::Duration;

use super::{ClaimDecision, ClaimEvent, ClaimMachine, ClaimPhase, ClaimSettlement, DispatchPermit};
use crate::claims::record::{ClaimBody, ClaimDetails, ClaimEntry, ClaimOutcome, ClaimRef};
use crate::claims::response::{ClaimRefusal, ClaimResponse};
use crate::claims::table::{ClaimHolder, ClaimJudgement, ClaimTable, KeyState};
use crate::claims::window::ClaimTime;
use crate::ids::RecordId;
use crate::platform::error::AppendVerdict;
use crate::records::{JUDGING_RULES, LogRecord};
use crate::verdict::RunVerdict;

/// Number of times that the delay between appends of a settlement is doubled.
const MAX_SETTLE_DOUBLINGS: u32 = 6;

impl ClaimMachine {
    /// Handles an event and returns the decisions, which must be executed in order.
    pub fn handle(
        &mut self,
        event: ClaimEvent,
        table: &ClaimTable,
        now: ClaimTime,
    ) -> Vec<ClaimDecision> {
        match (self.phase, event) {
            (ClaimPhase::New, ClaimEvent::Begin { log_available }) => {
                self.begin(log_available, table, now)
            }
            (ClaimPhase::Waiting, ClaimEvent::AppendFailed(AppendVerdict::NotAppended)) => {
                self.refuse(ClaimRefusal::LogUnavailable, table, now)
            }
            (ClaimPhase::Waiting, ClaimEvent::ClaimReplayed(judgement)) => {
                self.on_judgement(judgement, table, now)
            }
            (ClaimPhase::Waiting, ClaimEvent::Tick) if self.is_past_deadline(now) => {
                self.give_up(ClaimRefusal::NotConfirmed, table, now)
            }
            (ClaimPhase::Won, ClaimEvent::Tick) if self.is_past_deadline(now) => {
                self.give_up(ClaimRefusal::DeadlinePassed, table, now)
            }
            (ClaimPhase::Querying { .. }, ClaimEvent::HolderReplied(outcome)) => {
                self.respond(ClaimResponse::Known(outcome))
            }
            (ClaimPhase::Querying { .. }, ClaimEvent::HolderUnavailable) => {
                self.respond_from_log(table, now)
            }
            (ClaimPhase::Querying { until }, ClaimEvent::Tick) if until <= now.instant => {
                let mut decisions = self.respond_from_log(table, now);
                decisions.extend(self.retry_settlement(table, now));
                decisions
            }
            (ClaimPhase::Dispatched, ClaimEvent::Finished(outcome)) => {
                self.finish(outcome, table, now)
            }
            (_, ClaimEvent::SettlementReplayed) => {
                self.settlement = None;
                Vec::new()
            }
            (_, ClaimEvent::Tick) => self.retry_settlement(table, now),
            // The event is late or repeated: its phase has passed.
            _ => Vec::new(),
        }
    }

    /// Issues the dispatch permit, once. Must be called right before the first byte is
    /// written to a target.
    ///
    /// # Errors
    ///
    /// Returns the decisions to execute instead if the request must not be dispatched;
    /// none if they were returned before.
    pub fn authorise(
        &mut self,
        table: &ClaimTable,
        now: ClaimTime,
    ) -> Result<DispatchPermit, Vec<ClaimDecision>> {
        if self.phase != ClaimPhase::Won {
            return Err(Vec::new());
        }
        // The daemon may have been suspended after its claim won. Meanwhile the deadline,
        // the key's window or its coverage of the log may have expired. Without these
        // checks the request could run long after its caller left, or a second time after
        // its claim expired on every host.
        if self.is_past_deadline(now) {
            return Err(self.give_up(ClaimRefusal::DeadlinePassed, table, now));
        }
        if let Err(refusal) = table.admit(self.request.created, now.wall) {
            return Err(self.give_up(refusal, table, now));
        }
        self.phase = ClaimPhase::Dispatched;
        Ok(DispatchPermit {
            claim: self.request.claim.clone(),
        })
    }

    fn begin(
        &mut self,
        log_available: bool,
        table: &ClaimTable,
        now: ClaimTime,
    ) -> Vec<ClaimDecision> {
        let key_state = table.look_up(&self.request.name, &self.request.fingerprint);
        if key_state != KeyState::Free {
            return self.respond_for_key(key_state, now);
        }
        if let Err(refusal) = table.admit(self.request.created, now.wall) {
            return self.refuse(refusal, table, now);
        }
        if !log_available {
            return self.refuse(ClaimRefusal::LogUnavailable, table, now);
        }
        self.phase = ClaimPhase::Waiting;
        let entry = ClaimEntry::Claim(ClaimDetails {
            name: self.request.name.clone(),
            request: self.request.request.clone(),
            fingerprint: self.request.fingerprint,
            created: self.request.created,
        });
        let record = self.record(self.request.claim.clone(), entry, table, now);
        vec![ClaimDecision::Append(record)]
    }

    fn on_judgement(
        &mut self,
        judgement: ClaimJudgement,
        table: &ClaimTable,
        now: ClaimTime,
    ) -> Vec<ClaimDecision> {
        match judgement {
            ClaimJudgement::Won if self.is_past_deadline(now) => {
                self.give_up(ClaimRefusal::DeadlinePassed, table, now)
            }
            ClaimJudgement::Won => {
                self.phase = ClaimPhase::Won;
                vec![ClaimDecision::Dispatch]
            }
            ClaimJudgement::Lost {
                mismatched: true, ..
            } => self.respond_for_key(KeyState::Mismatched, now),
            ClaimJudgement::Lost { holder, .. } => {
                match table.look_up(&self.request.name, &self.request.fingerprint) {
                    KeyState::Ended(outcome) => self.respond_for_key(KeyState::Ended(outcome), now),
                    _ => self.respond_for_key(KeyState::Held(holder), now),
                }
            }
            ClaimJudgement::TooOld => self.give_up(ClaimRefusal::KeyExpired, table, now),
            _ => self.give_up(ClaimRefusal::NotConfirmed, table, now),
        }
    }

    /// Responds without a dispatch, according to the state of the key in the log.
    fn respond_for_key(&mut self, key_state: KeyState, now: ClaimTime) -> Vec<ClaimDecision> {
        match key_state {
            KeyState::Ended(outcome) => self.respond(ClaimResponse::Known(outcome)),
            KeyState::Held(holder) if self.is_previous_incarnation(&holder) => {
                self.respond(ClaimResponse::Unknown)
            }
            KeyState::Held(holder) => {
                self.phase = ClaimPhase::Querying {
                    until: now.instant + self.policy.query_timeout,
                };
                vec![ClaimDecision::QueryHolder(holder)]
            }
            KeyState::Mismatched => self.respond_refused(ClaimRefusal::KeyReused, None),
            KeyState::Free => {
                let retry_after = Some(self.policy.retry_after);
                self.respond_refused(ClaimRefusal::HolderWithdrew, retry_after)
            }
        }
    }

    /// Responds from the log alone to a caller whose key is held by a daemon that cannot
    /// be queried.
    fn respond_from_log(&mut self, table: &ClaimTable, now: ClaimTime) -> Vec<ClaimDecision> {
        match table.look_up(&self.request.name, &self.request.fingerprint) {
            KeyState::Held(_) => self.respond(ClaimResponse::Unknown),
            // A pruned claim cannot be distinguished from a withdrawn one.
            KeyState::Free if table.admit(self.request.created, now.wall).is_err() => {
                self.respond(ClaimResponse::Unknown)
            }
            key_state => self.respond_for_key(key_state, now),
        }
    }

    /// Returns whether a claim was made by an earlier incarnation of this daemon, which
    /// cannot dispatch any more and cannot report whether it did.
    fn is_previous_incarnation(&self, holder: &ClaimHolder) -> bool {
        holder.owner.host == self.owner.host && holder.owner.incarnation != self.owner.incarnation
    }

    /// Gives up a claim that is in the log or may still appear there.
    ///
    /// The phase becomes `Closed` before the caller gets its response: only this daemon
    /// may dispatch under the claim, and from here on it never does. The withdrawal frees
    /// the key for the caller's next attempt.
    fn give_up(
        &mut self,
        refusal: ClaimRefusal,
        table: &ClaimTable,
        now: ClaimTime,
    ) -> Vec<ClaimDecision> {
        let other_key_state = match table.look_up(&self.request.name, &self.request.fingerprint) {
            KeyState::Held(holder) if holder.claim == self.request.claim => None,
            KeyState::Free => None,
            key_state => Some(key_state),
        };
        let mut decisions = match other_key_state {
            Some(key_state) => self.respond_for_key(key_state, now),
            None => self.refuse(refusal, table, now),
        };
        let withdrawal = ClaimEntry::Withdraw(self.claim_ref());
        decisions.push(self.settle(withdrawal, table, now));
        decisions
    }

    fn finish(
        &mut self,
        outcome: ClaimOutcome,
        table: &ClaimTable,
        now: ClaimTime,
    ) -> Vec<ClaimDecision> {
        self.phase = ClaimPhase::Closed;
        let claim = self.claim_ref();
        let entry = match outcome.verdict {
            // The target itself refused the request, so the caller may retry.
            RunVerdict::NotRun => ClaimEntry::Withdraw(claim),
            RunVerdict::MayHaveRun | RunVerdict::Ran => ClaimEntry::Outcome { claim, outcome },
        };
        vec![self.settle(entry, table, now)]
    }

    fn settle(&mut self, entry: ClaimEntry, table: &ClaimTable, now: ClaimTime) -> ClaimDecision {
        let record = self.record(self.settlement_id(), entry, table, now);
        self.settlement = Some(ClaimSettlement {
            record: record.clone(),
            next_attempt: now.instant + self.policy.settle_delay,
            delay: self.policy.settle_delay,
        });
        ClaimDecision::Append(record)
    }

    /// Appends a settlement again that has not appeared in the log. Without it the key
    /// stays blocked until its window has passed.
    fn retry_settlement(&mut self, table: &ClaimTable, now: ClaimTime) -> Vec<ClaimDecision> {
        if table.is_prunable(self.request.created, now.wall) {
            self.settlement = None;
        }
        match &mut self.settlement {
            Some(settlement) if settlement.next_attempt <= now.instant => {
                let longest = self.policy.settle_delay * 2_u32.pow(MAX_SETTLE_DOUBLINGS);
                settlement.delay = (settlement.delay * 2).min(longest);
                settlement.next_attempt = now.instant + settlement.delay;
                vec![ClaimDecision::Append(settlement.record.clone())]
            }
            _ => Vec::new(),
        }
    }

    fn refuse(
        &mut self,
        refusal: ClaimRefusal,
        table: &ClaimTable,
        now: ClaimTime,
    ) -> Vec<ClaimDecision> {
        let retry_after = match refusal {
            ClaimRefusal::KeyExpired | ClaimRefusal::KeyReused | ClaimRefusal::KeyFromFuture => {
                None
            }
            ClaimRefusal::NotCovered => table
                .time_until_covered(now.wall)
                .map(|delay| delay.max(self.policy.retry_after)),
            _ => Some(self.policy.retry_after),
        };
        self.respond_refused(refusal, retry_after)
    }

    fn respond_refused(
        &mut self,
        refusal: ClaimRefusal,
        retry_after: Option<Duration>,
    ) -> Vec<ClaimDecision> {
        self.respond(ClaimResponse::Refused {
            refusal,
            retry_after,
        })
    }

    fn respond(&mut self, response: ClaimResponse) -> Vec<ClaimDecision> {
        self.phase = ClaimPhase::Closed;
        vec![ClaimDecision::Respond(response)]
    }

    fn is_past_deadline(&self, now: ClaimTime) -> bool {
        now.instant >= self.request.deadline
    }

    fn claim_ref(&self) -> ClaimRef {
        ClaimRef {
            claim: self.request.claim.clone(),
            created: self.request.created,
        }
    }

    fn record(
        &self,
        id: RecordId,
        entry: ClaimEntry,
        table: &ClaimTable,
        now: ClaimTime,
    ) -> LogRecord<ClaimBody> {
        LogRecord {
            id,
            rules: JUDGING_RULES,
            writer: self.owner.host.clone(),
            incarnation: self.owner.incarnation,
            body: ClaimBody {
                mark: table.mark(now.wall),
                entry,
            },
        }
    }
}
