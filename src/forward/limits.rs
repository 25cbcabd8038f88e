//! Reads the rate limits that targets send with their responses.

use std::sync::Arc;
use std::time::Instant;

use http::HeaderMap;

use super::tables::ServingTables;
use crate::fleet::target_key;
use crate::ids::{HostId, TargetId, TargetKey};
use crate::permits::{LimitChange, LimitObservation, RateLimit};
use crate::platform::names;
use crate::platform::number_header::NumberHeader;
use crate::platform::target_notice::TargetNotice;

impl ServingTables {
    /// Records the limit that the head of a response names. `sent` is when the request
    /// was sent.
    pub(super) fn observe_limit(
        self: &Arc<Self>,
        target: &TargetId,
        notice: &TargetNotice<'_>,
        headers: &HeaderMap,
        sent: Instant,
        now: Instant,
    ) {
        let rate = match notice.limit {
            // Only a response of the target itself shows that there is no limit.
            NumberHeader::Absent if !notice.sealed => return,
            NumberHeader::Absent if self.limits.lock().is_empty() => return,
            NumberHeader::Absent => None,
            NumberHeader::Number(named) => match RateLimit::new(named) {
                None => return self.record_unusable_limit(target, headers),
                rate => rate,
            },
            NumberHeader::Unreadable => return self.record_unusable_limit(target, headers),
        };
        let observation = LimitObservation {
            rate,
            sent,
            received: now,
        };
        let change = self.limits.lock().observe(target_key(target), observation);
        if let Some(change) = change {
            self.apply_limit_change(target, change, "answer");
        }
    }

    /// Applies a change of a target's limit that another host reported.
    pub fn apply_reported_limit(
        self: &Arc<Self>,
        target: TargetKey,
        change: LimitChange,
        host: &HostId,
    ) {
        let id = self.fleet.lock().id_of(target).cloned();
        if let Some(id) = id {
            self.apply_limit_change(&id, change, host);
        }
    }

    fn apply_limit_change(self: &Arc<Self>, target: &TargetId, change: LimitChange, source: &str) {
        self.record_limit_change(target, change, source);
        match change {
            LimitChange::Ended => self.fleet.lock().observe_unlimited(target),
            LimitChange::Named(_) => {
                let (tables, target) = (self.clone(), target.clone());
                tokio::spawn(async move { tables.report_sends(&target).await });
            }
        }
    }

    /// Logs and counts that a target begins, changes or ends its limit.
    fn record_limit_change(&self, target: &str, change: LimitChange, source: &str) {
        let (name, per_second) = match change {
            LimitChange::Named(rate) => ("named", Some(rate.per_second())),
            LimitChange::Ended => ("ended", None),
        };
        self.metrics.limit_reported(name);
        log::info!(
            target_id:% = target,
            change:% = name,
            per_second:? = per_second,
            source:% = source;
            "target limit"
        );
    }

    fn record_unusable_limit(&self, target: &TargetId, headers: &HeaderMap) {
        self.metrics.limit_reported("unusable");
        log::warn!(
            target_id:% = target,
            value:? = headers.get(names::SERVER_LIMIT);
            "unusable limit"
        );
    }
}
