//! The claimant's transitions.

use std::time::Duration;

use super::{ClaimDecision, ClaimEvent, ClaimMachine, ClaimSettlement, ClaimState, DispatchPermit};
use crate::claims::record::{ClaimBody, ClaimDetails, ClaimEntry, ClaimOutcome, ClaimRef};
use crate::claims::response::{ClaimRefusal, ClaimResponse};
use crate::claims::table::{ClaimHolder, ClaimJudgement, ClaimTable, KeyState};
use crate::claims::window::ClaimTime;
use crate::ids::RecordId;
use crate::platform::error::AppendVerdict;
use crate::records::{JUDGING_RULES, LogRecord};
use crate::verdict::RunVerdict;

/// How often the delay between appends of a settlement is doubled.
const MAX_SETTLE_DOUBLINGS: u32 = 6;

impl ClaimMachine {
    /// Takes in an event. The decisions are to be carried out in order.
    pub fn handle(
        &mut self,
        event: ClaimEvent,
        table: &ClaimTable,
        now: ClaimTime,
    ) -> Vec<ClaimDecision> {
        match (self.state, event) {
            (ClaimState::New, ClaimEvent::Begin { log_available }) => {
                self.begin(log_available, table, now)
            }
            (ClaimState::Waiting, ClaimEvent::AppendFailed(AppendVerdict::NotAppended)) => {
                self.refuse(ClaimRefusal::LogUnavailable, table, now)
            }
            (ClaimState::Waiting, ClaimEvent::ClaimReplayed(judgement)) => {
                self.take_judgement(judgement, table, now)
            }
            (ClaimState::Waiting, ClaimEvent::Tick) if self.is_late(now) => {
                self.give_up(ClaimRefusal::NotConfirmed, table, now)
            }
            (ClaimState::Won, ClaimEvent::Tick) if self.is_late(now) => {
                self.give_up(ClaimRefusal::DeadlinePassed, table, now)
            }
            (ClaimState::Asking { .. }, ClaimEvent::HolderReplied(outcome)) => {
                self.answer(ClaimResponse::Known(outcome))
            }
            (ClaimState::Asking { .. }, ClaimEvent::HolderUnavailable) => {
                self.answer_from(table, now)
            }
            (ClaimState::Asking { until }, ClaimEvent::Tick) if until <= now.instant => {
                let mut decisions = self.answer_from(table, now);
                decisions.extend(self.settle_again(table, now));
                decisions
            }
            (ClaimState::Dispatched, ClaimEvent::Finished(outcome)) => {
                self.finish(outcome, table, now)
            }
            (_, ClaimEvent::SettlementReplayed) => {
                self.settlement = None;
                Vec::new()
            }
            (_, ClaimEvent::Tick) => self.settle_again(table, now),
            // Late or doubled events of a state that has passed.
            _ => Vec::new(),
        }
    }

    /// Gives leave to dispatch, once. To be called right before the first
    /// byte is written.
    ///
    /// # Errors
    ///
    /// If the request must not be dispatched, gives what is to be done instead;
    /// nothing if that was decided before.
    pub fn authorise(
        &mut self,
        table: &ClaimTable,
        now: ClaimTime,
    ) -> Result<DispatchPermit, Vec<ClaimDecision>> {
        if self.state != ClaimState::Won {
            return Err(Vec::new());
        }
        // A daemon that was frozen after its claim won does not notice. Its
        // deadline, the key's window or its knowledge of the log may have
        // lapsed meanwhile: it would show as a request run long after its
        // caller left, or a second time after its claim expired everywhere.
        if self.is_late(now) {
            return Err(self.give_up(ClaimRefusal::DeadlinePassed, table, now));
        }
        if let Err(refusal) = table.admit(self.order.created, now.wall) {
            return Err(self.give_up(refusal, table, now));
        }
        self.state = ClaimState::Dispatched;
        Ok(DispatchPermit {
            claim: self.order.claim.clone(),
        })
    }

    fn begin(
        &mut self,
        log_available: bool,
        table: &ClaimTable,
        now: ClaimTime,
    ) -> Vec<ClaimDecision> {
        let key_state = table.look_up(&self.order.name, &self.order.fingerprint);
        if key_state != KeyState::Free {
            return self.defer_to(key_state, now);
        }
        if let Err(refusal) = table.admit(self.order.created, now.wall) {
            return self.refuse(refusal, table, now);
        }
        if !log_available {
            return self.refuse(ClaimRefusal::LogUnavailable, table, now);
        }
        self.state = ClaimState::Waiting;
        let entry = ClaimEntry::Claim(ClaimDetails {
            name: self.order.name.clone(),
            request: self.order.request.clone(),
            fingerprint: self.order.fingerprint,
            created: self.order.created,
        });
        let record = self.record(self.order.claim.clone(), entry, table, now);
        vec![ClaimDecision::Append(record)]
    }

    fn take_judgement(
        &mut self,
        judgement: ClaimJudgement,
        table: &ClaimTable,
        now: ClaimTime,
    ) -> Vec<ClaimDecision> {
        match judgement {
            ClaimJudgement::Won if self.is_late(now) => {
                self.give_up(ClaimRefusal::DeadlinePassed, table, now)
            }
            ClaimJudgement::Won => {
                self.state = ClaimState::Won;
                vec![ClaimDecision::Dispatch]
            }
            ClaimJudgement::Lost {
                mismatched: true, ..
            } => self.defer_to(KeyState::Mismatched, now),
            ClaimJudgement::Lost { holder, .. } => {
                match table.look_up(&self.order.name, &self.order.fingerprint) {
                    KeyState::Ended(outcome) => self.defer_to(KeyState::Ended(outcome), now),
                    _ => self.defer_to(KeyState::Held(holder), now),
                }
            }
            ClaimJudgement::TooOld => self.give_up(ClaimRefusal::KeyExpired, table, now),
            _ => self.give_up(ClaimRefusal::NotConfirmed, table, now),
        }
    }

    /// Answers without a dispatch, because of what the log says of the key.
    fn defer_to(&mut self, key_state: KeyState, now: ClaimTime) -> Vec<ClaimDecision> {
        match key_state {
            KeyState::Ended(outcome) => self.answer(ClaimResponse::Known(outcome)),
            KeyState::Held(holder) if self.is_own_past(&holder) => {
                self.answer(ClaimResponse::Unknown)
            }
            KeyState::Held(holder) => {
                self.state = ClaimState::Asking {
                    until: now.instant + self.policy.query_timeout,
                };
                vec![ClaimDecision::QueryHolder(holder)]
            }
            KeyState::Mismatched => self.answer_refused(ClaimRefusal::KeyReused, None),
            KeyState::Free => {
                let retry_after = Some(self.policy.retry_after);
                self.answer_refused(ClaimRefusal::HolderWithdrew, retry_after)
            }
        }
    }

    /// Answers a caller whose request another daemon holds, from the log
    /// alone, because that daemon cannot be asked.
    fn answer_from(&mut self, table: &ClaimTable, now: ClaimTime) -> Vec<ClaimDecision> {
        match table.look_up(&self.order.name, &self.order.fingerprint) {
            KeyState::Held(_) => self.answer(ClaimResponse::Unknown),
            // A claim that was forgotten looks like one that was withdrawn.
            KeyState::Free if table.admit(self.order.created, now.wall).is_err() => {
                self.answer(ClaimResponse::Unknown)
            }
            key_state => self.defer_to(key_state, now),
        }
    }

    /// Whether a claim was made by an earlier life of this daemon, which can
    /// neither dispatch any more nor tell whether it did.
    fn is_own_past(&self, holder: &ClaimHolder) -> bool {
        holder.owner.host == self.owner.host && holder.owner.incarnation != self.owner.incarnation
    }

    /// Makes a claim unusable that may be in the log or turn up there.
    ///
    /// The state is closed before the caller is answered: this daemon alone
    /// may dispatch for the claim, and from here on it never will. The
    /// withdrawal frees the key for the caller's next attempt.
    fn give_up(
        &mut self,
        refusal: ClaimRefusal,
        table: &ClaimTable,
        now: ClaimTime,
    ) -> Vec<ClaimDecision> {
        let held_by_other = match table.look_up(&self.order.name, &self.order.fingerprint) {
            KeyState::Held(holder) if holder.claim == self.order.claim => None,
            KeyState::Free => None,
            key_state => Some(key_state),
        };
        let mut decisions = match held_by_other {
            Some(key_state) => self.defer_to(key_state, now),
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
        self.state = ClaimState::Closed;
        let claim = self.claim_ref();
        let entry = match outcome.verdict {
            // The target itself refused: the caller may come back.
            RunVerdict::NotRun => ClaimEntry::Withdraw(claim),
            RunVerdict::MayHaveRun | RunVerdict::Ran => ClaimEntry::Outcome { claim, outcome },
        };
        vec![self.settle(entry, table, now)]
    }

    fn settle(&mut self, entry: ClaimEntry, table: &ClaimTable, now: ClaimTime) -> ClaimDecision {
        let record = self.record(self.settlement_id(), entry, table, now);
        self.settlement = Some(ClaimSettlement {
            record: record.clone(),
            next_try: now.instant + self.policy.settle_delay,
            delay: self.policy.settle_delay,
        });
        ClaimDecision::Append(record)
    }

    /// Appends a settlement again that has not shown in the log. Without it
    /// the key stays blocked until its window has passed.
    fn settle_again(&mut self, table: &ClaimTable, now: ClaimTime) -> Vec<ClaimDecision> {
        if table.is_forgettable(self.order.created, now.wall) {
            self.settlement = None;
        }
        match &mut self.settlement {
            Some(settlement) if settlement.next_try <= now.instant => {
                let longest = self.policy.settle_delay * 2_u32.pow(MAX_SETTLE_DOUBLINGS);
                settlement.delay = (settlement.delay * 2).min(longest);
                settlement.next_try = now.instant + settlement.delay;
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
        self.answer_refused(refusal, retry_after)
    }

    fn answer_refused(
        &mut self,
        refusal: ClaimRefusal,
        retry_after: Option<Duration>,
    ) -> Vec<ClaimDecision> {
        self.answer(ClaimResponse::Refused {
            refusal,
            retry_after,
        })
    }

    fn answer(&mut self, answer: ClaimResponse) -> Vec<ClaimDecision> {
        self.state = ClaimState::Closed;
        vec![ClaimDecision::Respond(answer)]
    }

    fn is_late(&self, now: ClaimTime) -> bool {
        now.instant >= self.order.deadline
    }

    fn claim_ref(&self) -> ClaimRef {
        ClaimRef {
            claim: self.order.claim.clone(),
            created: self.order.created,
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
