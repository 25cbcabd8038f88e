//! The metrics that a daemon exports.

use std::time::Duration;

use jackdawwick::metrics::{
    AppendOutcome, ClaimResult, DropCause, MetricSet, RequestKind, RequestOutcome,
};
use jackdawwick::reason::{RefusalReason, RetryReason};

/// A reason that has never occurred must be reported as 0: a missing series looks like a
/// daemon that does not count it.
#[test]
fn every_reason_is_reported_as_zero_from_the_start() {
    let text = MetricSet::default().encode();
    for reason in RefusalReason::ALL {
        let line = format!(
            "jackdawwick_refusals_total{{reason=\"{}\"}} 0\n",
            reason.name()
        );
        assert!(text.contains(&line), "{line} is missing");
    }
    for reason in RetryReason::ALL {
        let line = format!(
            "jackdawwick_retries_total{{reason=\"{}\"}} 0\n",
            reason.name()
        );
        assert!(text.contains(&line), "{line} is missing");
    }
}

#[test]
fn counted_events_are_reported() {
    let set = MetricSet::default();
    set.request_begun(RequestKind::Generate);
    set.request_begun(RequestKind::Generate);
    set.request_ended(RequestKind::Generate, RequestOutcome::Whole);
    set.refused(RefusalReason::QueueFull);
    set.retried(RetryReason::ResponseLost);
    set.first_token(Duration::from_millis(3));
    set.next_token(Duration::from_millis(1));
    set.response_dropped(DropCause::Unmatched);
    set.claim_settled(ClaimResult::Won);
    set.appended("claims", AppendOutcome::Lost);
    set.appended("not-a-stream", AppendOutcome::Lost);
    set.set_applied_offset(41);
    set.control_sent(7);
    let text = set.encode();
    let shown: Vec<_> = text
        .lines()
        .filter(|line| !line.starts_with('#') && !line.contains("_bucket"))
        .filter(|line| !line.ends_with(" 0"))
        .collect();
    insta::assert_snapshot!(shown.join("\n"));
}
