//! A retry that a budget granted to a request, from the decision to the response.

use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;

use super::tables::ServingTables;
use crate::ids::{ServiceId, TargetId};
use crate::retry::GrantId;

/// A granted retry. Dropping it returns it to the budget, unless it was sent: then it counts
/// until it can no longer arrive.
#[derive(Debug)]
pub(super) struct RetryGrant {
    tables: Arc<ServingTables>,
    service: ServiceId,
    request: String,
    id: GrantId,
    granted: Instant,
    stage: Mutex<GrantStage>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GrantStage {
    /// Its attempt waits for a target, a permit or a connection.
    Waiting,
    /// The request was sent and may not have arrived yet.
    Sent,
    /// It has arrived, or may not be sent.
    Ended,
}

impl RetryGrant {
    pub(super) fn new(
        tables: Arc<ServingTables>,
        service: ServiceId,
        request: String,
        id: GrantId,
        granted: Instant,
    ) -> Self {
        Self {
            tables,
            service,
            request,
            id,
            granted,
            stage: Mutex::new(GrantStage::Waiting),
        }
    }

    /// Returns whether the retry may be sent now, and counts it as sent if so.
    pub(super) fn send(&self, target: &TargetId, now: Instant) -> bool {
        let is_allowed = self.tables.send_retry(&self.service, self.id, now);
        let (stage, result) = match is_allowed {
            true => (GrantStage::Sent, "sent"),
            false => (GrantStage::Ended, "withheld"),
        };
        *self.stage.lock() = stage;
        self.tables.metrics.count_retry_grant(result);
        let waited = now.saturating_duration_since(self.granted);
        log::info!(
            request:% = self.request,
            service:% = self.service,
            target_id:% = target,
            grant = self.id,
            waited_ms = waited.as_millis() as u64;
            "retry {result}"
        );
        is_allowed
    }

    /// Records that the target has received the request.
    pub(super) fn settle(&self, now: Instant) {
        let mut stage = self.stage.lock();
        if *stage == GrantStage::Sent {
            *stage = GrantStage::Ended;
            self.tables.settle_retry(&self.service, self.id, now);
            self.tables.metrics.count_retry_grant("arrived");
        }
    }

    /// Records that the request did not reach its target after all.
    pub(super) fn reclaim(&self) {
        let mut stage = self.stage.lock();
        if *stage == GrantStage::Sent {
            *stage = GrantStage::Waiting;
            self.tables.reclaim_retry(&self.service, self.id);
        }
    }

    /// Returns whether another attempt may use the retry.
    pub(super) fn is_unused(&self) -> bool {
        *self.stage.lock() == GrantStage::Waiting
    }
}

impl Drop for RetryGrant {
    fn drop(&mut self) {
        let result = match *self.stage.get_mut() {
            GrantStage::Waiting => {
                self.tables.release_retry(&self.service, self.id);
                "unsent"
            }
            GrantStage::Sent => "unanswered",
            GrantStage::Ended => return,
        };
        self.tables.metrics.count_retry_grant(result);
    }
}
