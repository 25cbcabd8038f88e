//! Targets that stand still and go on, behind entry hosts that run as processes.

mod support;

use std::time::Duration;

use standins::soak::{
    CallKind, PathPosition, SilenceDisruption, SilencePlan, SilenceReport, TargetFleet, run_silence,
};
use support::TestResult;
use support::soaks::soak_settings;

const HOSTS: usize = 3;

const STREAMS: SilencePlan = SilencePlan {
    kind: CallKind::Stream,
    position: PathPosition::First,
    silence: Duration::from_millis(1200),
    calm: Duration::from_millis(800),
    targets: TargetFleet::Several,
    spends_retries: false,
    uses_gateway: false,
    disruption: SilenceDisruption::None,
};
const READS: SilencePlan = SilencePlan {
    kind: CallKind::Idempotent,
    silence: Duration::from_millis(1500),
    ..STREAMS
};
const CHARGES: SilencePlan = SilencePlan {
    kind: CallKind::NonIdempotent,
    ..READS
};

fn check(plan: SilencePlan, report: &SilenceReport) {
    assert_eq!(report.violations, [], "{report:?}");
    assert!(report.unanswered.is_empty(), "{report:?}");
    assert!(report.held > 0, "{report:?}");
    assert!(
        report.has_spent_retries || !plan.spends_retries,
        "{report:?}"
    );
}

async fn check_plan(plan: SilencePlan) -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    check(plan, &run_silence(settings, plan).await?);
    Ok(())
}

/// Guards against streams that are cut, for want of a retry, while their engine stands still.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_survive_a_still_engine_when_retries_are_spent() -> TestResult {
    check_plan(SilencePlan {
        spends_retries: true,
        ..STREAMS
    })
    .await
}

/// Guards against streams that are cut, for want of an engine, while theirs stands still.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_survive_a_still_engine_when_no_other_is_left() -> TestResult {
    check_plan(SilencePlan {
        targets: TargetFleet::OnePath,
        ..STREAMS
    })
    .await
}

/// Guards against streams that are cut for want of both.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_survive_a_still_engine_when_neither_retries_nor_engines_are_left() -> TestResult {
    check_plan(SilencePlan {
        targets: TargetFleet::OnePath,
        spends_retries: true,
        ..STREAMS
    })
    .await
}

/// Guards against streams that are cut although retries and engines are left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_survive_a_still_engine_beside_others() -> TestResult {
    check_plan(STREAMS).await
}

/// Guards against streams that are cut when their engine stands still for longer than its
/// entry lasts. The time between two silences lets the streams of the first one end: one that
/// both hold would take longer than its deadline of 6 s, whatever its host does.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_survive_an_engine_that_stands_still_for_three_seconds() -> TestResult {
    check_plan(SilencePlan {
        silence: Duration::from_secs(3),
        calm: Duration::from_secs(2),
        targets: TargetFleet::OnePath,
        spends_retries: true,
        ..STREAMS
    })
    .await
}

/// Guards against streams that may run once, and run again or fail for a silence.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_that_may_run_once_wait_for_a_still_engine() -> TestResult {
    check_plan(SilencePlan {
        kind: CallKind::StreamOnce,
        ..STREAMS
    })
    .await
}

/// Guards against streams that are cut because a later engine of their path stands still.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_survive_a_later_engine_that_stands_still() -> TestResult {
    check_plan(SilencePlan {
        position: PathPosition::Later,
        targets: TargetFleet::OnePath,
        ..STREAMS
    })
    .await
}

/// Guards against the same when retries are spent and other engines are left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_survive_a_still_later_engine_when_retries_are_spent() -> TestResult {
    check_plan(SilencePlan {
        position: PathPosition::Later,
        spends_retries: true,
        ..STREAMS
    })
    .await
}

/// Guards against streams through a gateway that are cut while their engine stands still.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_through_a_gateway_survive_a_standstill_of_the_only_engine() -> TestResult {
    check_plan(SilencePlan {
        targets: TargetFleet::OnePath,
        uses_gateway: true,
        ..STREAMS
    })
    .await
}

/// Guards against the same when retries are spent and other engines are left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_through_a_gateway_survive_a_still_engine_without_retries() -> TestResult {
    check_plan(SilencePlan {
        spends_retries: true,
        uses_gateway: true,
        ..STREAMS
    })
    .await
}

/// Guards against streams that are cut because their silent engine is announced as leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_survive_the_drain_of_a_still_engine() -> TestResult {
    check_plan(SilencePlan {
        spends_retries: true,
        disruption: SilenceDisruption::TargetLeaves,
        ..STREAMS
    })
    .await
}

/// Guards against streams that are cut because their host is stopped during the silence.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_survive_the_stop_of_their_host_while_an_engine_stands_still() -> TestResult {
    check_plan(SilencePlan {
        targets: TargetFleet::OnePath,
        spends_retries: true,
        disruption: SilenceDisruption::HostStops,
        ..STREAMS
    })
    .await
}

/// Guards against idempotent calls that fail, for want of a retry, while their target stands
/// still.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_calls_wait_for_a_still_target_when_retries_are_spent() -> TestResult {
    check_plan(SilencePlan {
        spends_retries: true,
        ..READS
    })
    .await
}

/// Guards against idempotent calls that fail, for want of a target, while theirs stands still.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_calls_wait_for_a_still_target_when_no_other_is_left() -> TestResult {
    check_plan(SilencePlan {
        targets: TargetFleet::OnePath,
        ..READS
    })
    .await
}

/// Guards against idempotent calls that fail for want of both.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_calls_wait_for_a_still_target_when_nothing_is_left() -> TestResult {
    check_plan(SilencePlan {
        targets: TargetFleet::OnePath,
        spends_retries: true,
        ..READS
    })
    .await
}

/// Guards against idempotent calls through a gateway that fail while their target stands still.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_calls_through_a_gateway_wait_for_a_still_target() -> TestResult {
    check_plan(SilencePlan {
        targets: TargetFleet::OnePath,
        uses_gateway: true,
        ..READS
    })
    .await
}

/// Guards against calls that may run once and run twice, or fail, while their target stands
/// still.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_calls_run_once_and_wait_for_a_still_target() -> TestResult {
    check_plan(CHARGES).await
}

/// Guards against the same when no other target is left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_calls_wait_for_the_only_target() -> TestResult {
    check_plan(SilencePlan {
        targets: TargetFleet::OnePath,
        ..CHARGES
    })
    .await
}

/// Guards against calls that are lost because their host is stopped while they wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_calls_survive_the_stop_of_their_host() -> TestResult {
    check_plan(SilencePlan {
        targets: TargetFleet::OnePath,
        disruption: SilenceDisruption::HostStops,
        ..CHARGES
    })
    .await
}
