//! Calls that targets receive again, from entry hosts that run as processes.

mod support;

use standins::soak::run_failures_over_restarts;
use support::TestResult;
use support::soaks::soak_settings;

const HOSTS: usize = 4;

/// Guards against hosts that start again and retry as much as their predecessors did in the
/// same window.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_stay_within_the_bound_when_host_processes_start_again() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let report = run_failures_over_restarts(settings).await?;
    let fullest = report.fullest.ok_or("no call was retried")?;
    assert!(!fullest.is_exceeded(), "{report:?}");
    // Retries have to remain useful to callers.
    assert!(fullest.arrivals * 4 >= fullest.allowed, "{report:?}");
    Ok(())
}
