//! Entry hosts as processes that lose their links to all targets.

mod support;

use standins::soak::{LinkLoss, PartitionReport, run_partition};
use support::TestResult;
use support::soaks::soak_settings;

const HOSTS: usize = 6;

/// Checks that hosts without links serve their callers at the first attempt: at least two
/// thirds as often as the other hosts, or all but ten and one call in fifty.
fn check(report: &PartitionReport) {
    let isolated = report.isolated;
    assert_eq!(report.violations, [], "{report:?}");
    assert!(isolated.sent > 100, "{report:?}");
    assert!(
        isolated.share() >= report.connected.share() * 2.0 / 3.0
            || isolated.failed() <= 10 + isolated.sent / 50,
        "{report:?}"
    );
    assert!(report.connected.share() > 0.9, "{report:?}");
    assert!(report.after.share() > 0.9, "{report:?}");
}

/// Guards against hosts that serve nobody when packets to all targets are lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_whose_links_to_targets_fall_silent_serve_callers() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    check(&run_partition(settings, LinkLoss::Silent).await?);
    Ok(())
}

/// Guards against hosts that serve nobody when all connections to targets are reset.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_whose_links_to_targets_are_reset_serve_callers() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    check(&run_partition(settings, LinkLoss::Reset).await?);
    Ok(())
}

/// Guards against hosts that serve nobody new while their open connections live on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_whose_new_connections_to_targets_are_refused_serve_callers() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    check(&run_partition(settings, LinkLoss::NewRefused).await?);
    Ok(())
}
