//! Records which requests targets ended under and which they survived, and refuses or delays
//! requests by that evidence.

use std::time::{Duration, Instant};

use super::exchange::Exchange;
use super::response::Refusal;
use super::tables::ServingTables;
use crate::fleet::target_key;
use crate::ids::TargetId;
use crate::poison::{PoisonJudgement, PoisonVerdict, RequestSuspects, RunStart, key_text};

/// Interval at which a request that waits for evidence is judged again.
const JUDGE_INTERVAL: Duration = Duration::from_millis(50);

impl ServingTables {
    /// Checks that a request may be sent to targets. One that has to wait passes.
    ///
    /// # Errors
    ///
    /// The refusal, if targets crash under the request or under a part of its prompt.
    pub(super) fn check_poison(
        &self,
        suspects: &RequestSuspects,
        id: &str,
        now: Instant,
    ) -> Result<(), Refusal> {
        let judgement = self.poison.lock().judge(suspects, now);
        match judgement {
            PoisonJudgement::Sound | PoisonJudgement::Pending(_) => Ok(()),
            PoisonJudgement::Request => Err(Refusal::poison()),
            PoisonJudgement::Part(part) => {
                log::info!(request:% = id, key:% = key_text(part); "poison part refused");
                Err(Refusal::poison_part())
            }
        }
    }
}

impl Exchange {
    /// Returns whether the request is refused because targets crash under it.
    pub(super) fn is_poison(&self, now: Instant) -> bool {
        let judgement = self.tables.poison.lock().judge(&self.suspects, now);
        matches!(
            judgement,
            PoisonJudgement::Request | PoisonJudgement::Part(_)
        )
    }

    /// Waits until it is known whether a part of the prompt crashes targets, if one is
    /// suspected. A request that was sent before and may have caused the end of its target
    /// waits for other hosts' evidence, too.
    pub(super) async fn wait_for_evidence(&self, was_sent: bool) {
        loop {
            let now = Instant::now();
            let until = {
                let poison = self.tables.poison.lock();
                match poison.judge(&self.suspects, now) {
                    PoisonJudgement::Pending(until) => Some(until),
                    PoisonJudgement::Sound if was_sent => {
                        poison.unproven_until(&self.suspects, now)
                    }
                    _ => None,
                }
            };
            let Some(until) = until.filter(|until| *until <= self.deadline) else {
                return;
            };
            tokio::time::sleep_until(until.min(now + JUDGE_INTERVAL).into()).await;
        }
    }

    /// Records that the process of the target ended after it was sent the request.
    pub(super) fn record_end(&self, target: &TargetId, start: &RunStart, now: Instant) {
        if !start.is_suspect(now) {
            return;
        }
        let verdict = {
            let mut poison = self.tables.poison.lock();
            poison.observe_request_end(&self.suspects, target_key(target), now)
        };
        self.tables.metrics.ended_under_request(verdict.name());
        log::info!(
            request:% = self.outgoing.id,
            key:% = key_text(self.suspects.request),
            parts:% = self.prompt_parts.join(","),
            target_id:% = target,
            verdict:% = verdict.name();
            "target ended under a request"
        );
        if verdict == PoisonVerdict::Poison {
            self.tables.poison_updates.notify_waiters();
        }
    }

    /// Records that the targets ran the request and did not crash.
    pub(super) fn record_survival(&self, now: Instant) {
        let request = self.suspects.request;
        let cleared = self.tables.poison.lock().observe_survival(request, now);
        if cleared {
            log::info!(
                request:% = self.outgoing.id,
                key:% = key_text(self.suspects.request);
                "targets survived a suspected request"
            );
        }
    }

    /// Records that the target, which began to run the request at `began`, survives the parts
    /// of its prompt.
    pub(super) fn record_part_survival(&self, began: Instant, now: Instant) {
        let cleared = {
            let mut poison = self.tables.poison.lock();
            poison.observe_part_survival(&self.suspects, began, now)
        };
        if cleared {
            log::info!(
                request:% = self.outgoing.id,
                parts:% = self.prompt_parts.join(",");
                "targets survived a suspected part"
            );
        }
    }
}
