//! Requests that share a part of their prompts which crashes engines, sent to entry hosts
//! that run as processes.

mod support;

use standins::soak::{run_poison_part, run_poison_part_restart};
use support::TestResult;
use support::soaks::soak_settings;

const HOSTS: usize = 4;
/// Requests with the part that may still reach engines after hosts have told each other.
const MAX_LATE_ARRIVALS: usize = 3;

/// Guards against requests that end engine after engine because no two of them are alike.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_under_which_engines_ended_reaches_no_further_engine() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let report = run_poison_part(settings).await?;
    assert!(report.late_arrivals <= MAX_LATE_ARRIVALS, "{report:?}");
    assert!(report.before.sent >= 20, "{report:?}");
    assert!(report.after.sent >= 20, "{report:?}");
    let half = report.before.share() / 2.0;
    assert!(report.after.share() >= half, "{report:?}");
    assert_eq!(report.falsely_refused, 0, "{report:?}");
    Ok(())
}

/// Guards against a part that ends engines again because all hosts have forgotten it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_part_stays_refused_after_a_start_of_all_hosts() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let report = run_poison_part_restart(settings).await?;
    assert!(report.ended_before >= 2, "{report:?}");
    assert_eq!(report.ended_after, 0, "{report:?}");
    Ok(())
}
