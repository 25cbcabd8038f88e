//! Entry hosts that are stopped by SIGTERM while their targets are silent and go on later.

mod support;

use std::time::Duration;

use standins::soak::{CallKind, ServingTimes, ShutdownPlan, ShutdownReport, run_shutdown};
use support::TestResult;
use support::soaks::soak_settings;

/// A silence from 5.6 s to 7.7 s after SIGTERM, of a grace period of 8 s.
const LATE_SILENCE: ShutdownPlan = ShutdownPlan {
    kind: CallKind::NonIdempotent,
    times: ServingTimes {
        grace: Duration::from_secs(8),
        route: Duration::from_millis(1200),
    },
    stop: Duration::from_millis(400),
    second_stop: None,
    silent_from: Duration::from_millis(6000),
    silence: Duration::from_millis(2100),
};
const SHORT_GRACE: ShutdownPlan = ShutdownPlan {
    times: ServingTimes {
        grace: Duration::from_secs(1),
        ..LATE_SILENCE.times
    },
    stop: Duration::from_millis(600),
    silent_from: Duration::from_millis(500),
    ..LATE_SILENCE
};

async fn run(plan: ShutdownPlan) -> Result<ShutdownReport, support::TestError> {
    let (settings, _folder) = soak_settings(1).await?;
    let report = run_shutdown(settings, plan).await?;
    assert!(report.exited, "{report:?}");
    assert!(report.sent > 50, "{report:?}");
    assert!(report.held > 0, "{report:?}");
    Ok(report)
}

async fn check_all_answered(plan: ShutdownPlan) -> TestResult {
    let report = run(plan).await?;
    assert!(report.unanswered.is_empty(), "{report:?}");
    assert_eq!(report.violations, [], "{report:?}");
    Ok(())
}

/// Guards against calls that are taken on late in the grace period and never answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_to_a_silent_target_is_answered_before_its_host_ends() -> TestResult {
    check_all_answered(LATE_SILENCE).await
}

/// Guards against the same for calls that may be sent again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_idempotent_call_to_a_silent_target_is_answered_before_its_host_ends() -> TestResult {
    check_all_answered(ShutdownPlan {
        kind: CallKind::Idempotent,
        ..LATE_SILENCE
    })
    .await
}

/// Guards against a second SIGTERM that ends the host under its calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_signal_leaves_no_call_unanswered() -> TestResult {
    check_all_answered(ShutdownPlan {
        second_stop: Some(LATE_SILENCE.silent_from + Duration::from_millis(300)),
        ..LATE_SILENCE
    })
    .await
}

/// Guards against calls that are cut because the grace period ends before the route's timeout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_grace_period_shorter_than_a_route_timeout_leaves_no_call_unanswered() -> TestResult {
    check_all_answered(SHORT_GRACE).await
}
