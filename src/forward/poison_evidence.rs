//! What is noted of a request and the targets that ended under it.

use std::time::Instant;

use super::exchange::Exchange;
use crate::fleet::target_key;
use crate::ids::TargetId;
use crate::poison::{PoisonVerdict, RunStart, key_text};

impl Exchange {
    /// Whether the request is refused, since targets do not survive it.
    pub(super) fn is_poison(&self, now: Instant) -> bool {
        self.tables.poison.lock().is_poison(self.key, now)
    }

    /// The process of the target that was sent the request has ended.
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
            target_id:% = target,
            verdict:% = verdict.name();
            "target ended under a request"
        );
        if verdict == PoisonVerdict::Poison {
            self.tables.poison_updates.notify_waiters();
        }
    }

    /// The targets ran the request and live on.
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
