//! Targets that request pauses or state that they are leaving, with entry hosts as
//! processes.

mod support;

use standins::soak::{run_leaving_statement, run_requested_pause};
use support::TestResult;
use support::soaks::soak_settings;

const HOSTS: usize = 6;

/// Guards against requests to targets during a pause, and against none after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_receive_nothing_during_a_pause_and_requests_after_it() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let report = run_requested_pause(settings).await?;
    assert_eq!(report.violations, [], "{report:?}");
    assert_eq!(report.unsuccessful, [], "{report:?}");
    assert_eq!(report.exhausted, [], "{report:?}");
    assert!(report.before > 0 && report.after > 0, "{report:?}");
    Ok(())
}

/// Guards against new requests to a leaving target while the log is away, and lost calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_receive_nothing_after_they_state_that_they_leave() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let report = run_leaving_statement(settings).await?;
    assert_eq!(report.violations, [], "{report:?}");
    assert_eq!(report.unsuccessful, [], "{report:?}");
    assert!(report.before > 0, "{report:?}");
    Ok(())
}
