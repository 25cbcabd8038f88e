//! Records targets that ended under a request, and requests that targets survived.

use std::time::Instant;

use super::exchange::Exchange;
use crate::fleet::target_key;
use crate::ids::TargetId;
use crate::poison::{PoisonVerdict, RunStart, key_text};

impl Exchange {
    /// Returns whether the request is refused because targets crash under it.
    pub(super) fn is_poison(&self, now: Instant) -> bool {
        self.tables.poison.lock().is_poison(self.key, now)
    }

    /// Records that the process of the target ended after it was sent the request.
    pub(super) fn record_end(&self, target: &TargetId, start: &RunStart, now: Instant) {
        if !start.is_suspect(now) {
            return;
        }
        let verdict = {
            let mut poison = self.tables.poison.lock();
            poison.observe_end(self.key, target_key(target), now)
        };
        self.tables.metrics.ended_under_request(verdict.name());
        log::info!(
            request:% = self.outgoing.id,
            key:% = key_text(self.key),
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
        let cleared = self.tables.poison.lock().observe_survival(self.key, now);
        if cleared {
            log::info!(
                request:% = self.outgoing.id,
                key:% = key_text(self.key);
                "targets survived a suspected request"
            );
        }
    }
}
