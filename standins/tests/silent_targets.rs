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
    hangup: None,
    later_times: None,
    call_time: Duration::from_millis(100),
    silent_from: Duration::from_millis(6000),
    silence: Duration::from_millis(2100),
    kept_from: None,
};

/// Calls to sound targets until the process is gone, among them those of connections that are
/// used for the second time from 7.0 s to 8.2 s after SIGTERM.
const LATE_CALLS: ShutdownPlan = ShutdownPlan {
    later_times: Some(ServingTimes {
        route: Duration::from_millis(400),
        ..LATE_SILENCE.times
    }),
    call_time: Duration::from_millis(250),
    silent_from: Duration::from_millis(500),
    silence: Duration::ZERO,
    kept_from: Some(Duration::from_millis(7400)),
    ..LATE_SILENCE
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

/// Streams that are silent from 1.5 s to 3.6 s after SIGTERM.
const SILENT_STREAMS: ShutdownPlan = ShutdownPlan {
    kind: CallKind::Stream,
    times: ServingTimes {
        route: Duration::from_secs(6),
        ..LATE_SILENCE.times
    },
    silent_from: Duration::from_millis(1900),
    ..LATE_SILENCE
};

async fn run(plan: ShutdownPlan, hosts: usize) -> Result<ShutdownReport, support::TestError> {
    let (settings, _folder) = soak_settings(hosts).await?;
    let report = run_shutdown(settings, plan).await?;
    assert!(report.exited, "{report:?}");
    assert!(report.sent > 50, "{report:?}");
    assert!(report.held > 0 || plan.silence.is_zero(), "{report:?}");
    Ok(report)
}

async fn check_all_answered(plan: ShutdownPlan) -> TestResult {
    check_hosts(plan, 1).await
}

async fn check_hosts(plan: ShutdownPlan, hosts: usize) -> TestResult {
    let report = run(plan, hosts).await?;
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

/// Guards against streams that a host cuts though their engine goes on within the grace period.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_is_complete_though_its_engine_is_silent_during_the_shutdown() -> TestResult {
    check_all_answered(SILENT_STREAMS).await
}

/// Guards against streams that look complete, or end early, as their engine is silent until the
/// end of the grace period.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_outlasts_its_host_is_not_ended_early() -> TestResult {
    check_all_answered(ShutdownPlan {
        kind: CallKind::StreamOnce,
        silence: Duration::from_millis(6300),
        ..SILENT_STREAMS
    })
    .await
}

/// Guards against calls that are lost as hosts stop one after the other, with a silence that
/// begins in the time of the balancer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_that_stop_one_after_the_other_leave_no_call_unanswered() -> TestResult {
    check_hosts(
        ShutdownPlan {
            silent_from: Duration::from_millis(2400),
            ..LATE_SILENCE
        },
        2,
    )
    .await
}

/// Guards against calls that a configuration with a shorter timeout, or SIGHUP, ends beside
/// SIGTERM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shorter_timeout_and_sighup_beside_the_stop_leave_no_call_unanswered() -> TestResult {
    check_all_answered(ShutdownPlan {
        hangup: Some(LATE_SILENCE.stop + Duration::from_millis(50)),
        silent_from: LATE_SILENCE.stop + Duration::from_millis(100),
        later_times: Some(ServingTimes {
            route: Duration::from_millis(300),
            ..LATE_SILENCE.times
        }),
        ..LATE_SILENCE
    })
    .await
}

/// Guards against calls that are taken on at the end of the grace period, in calm, and cut
/// without a response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_at_the_end_of_the_grace_period_are_answered() -> TestResult {
    let report = run(LATE_CALLS, 1).await?;
    assert!(report.ended > Duration::from_secs(7), "{report:?}");
    assert!(report.unanswered.is_empty(), "{report:?}");
    assert_eq!(report.violations, [], "{report:?}");
    Ok(())
}

/// Guards against the same where a call may last longer than the grace period.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_that_may_outlast_the_grace_period_are_answered() -> TestResult {
    check_all_answered(ShutdownPlan {
        times: ServingTimes {
            route: Duration::from_secs(20),
            ..LATE_CALLS.times
        },
        later_times: None,
        call_time: Duration::from_millis(400),
        ..LATE_CALLS
    })
    .await
}

/// Guards against the same for streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_at_the_end_of_the_grace_period_are_answered() -> TestResult {
    check_all_answered(ShutdownPlan {
        kind: CallKind::Stream,
        later_times: None,
        ..LATE_CALLS
    })
    .await
}
