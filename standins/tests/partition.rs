//! Entry hosts as processes that lose their links to all targets.

mod support;

use standins::soak::{IsolatedHosts, LinkLoss, PartitionPlan, PartitionReport, run_partition};
use support::TestResult;
use support::soaks::soak_settings;

const HOSTS: usize = 6;

/// Checks that hosts without links serve their callers at the first attempt: at least two
/// thirds as often as the other hosts, or all but ten and one call in fifty.
fn check(report: &PartitionReport) {
    let isolated = report.isolated;
    assert_eq!(report.violations, [], "{report:?}");
    assert!(isolated.sent > 50, "{report:?}");
    assert!(
        isolated.share() >= report.connected.share() * 2.0 / 3.0
            || isolated.failed() <= 10 + isolated.sent / 50,
        "{report:?}"
    );
    assert!(report.connected.share() > 0.9, "{report:?}");
    assert!(report.after.share() > 0.9, "{report:?}");
}

async fn check_loss(hosts: IsolatedHosts, loss: LinkLoss, faulty_targets: bool) -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let plan = PartitionPlan {
        loss,
        hosts,
        faulty_targets,
    };
    check(&run_partition(settings, plan).await?);
    Ok(())
}

/// Guards against hosts that serve nobody when packets to all targets are lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_whose_links_to_targets_fall_silent_serve_callers() -> TestResult {
    check_loss(IsolatedHosts::Most, LinkLoss::Silent, false).await
}

/// Guards against hosts that serve nobody when all connections to targets are reset.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_whose_links_to_targets_are_reset_serve_callers() -> TestResult {
    check_loss(IsolatedHosts::Most, LinkLoss::Reset, false).await
}

/// Guards against hosts that serve nobody new while their open connections live on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_whose_new_connections_to_targets_are_refused_serve_callers() -> TestResult {
    check_loss(IsolatedHosts::Most, LinkLoss::NewRefused, false).await
}

/// Guards against a single host that takes its lost links for lost targets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_host_without_links_serves_callers_beside_faulty_targets() -> TestResult {
    check_loss(IsolatedHosts::One, LinkLoss::Reset, true).await
}

/// Guards against a zone whose hosts find no gateway in it, and lose its planner's orders.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_whose_links_fall_silent_serves_callers_beside_faulty_targets() -> TestResult {
    check_loss(IsolatedHosts::Zone, LinkLoss::Silent, true).await
}

/// Guards against the same where connections are reset.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_whose_links_are_reset_serves_callers_beside_faulty_targets() -> TestResult {
    check_loss(IsolatedHosts::Zone, LinkLoss::Reset, true).await
}

/// Guards against the same where open connections live on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_whose_new_connections_are_refused_serves_callers_beside_faulty_targets()
-> TestResult {
    check_loss(IsolatedHosts::Zone, LinkLoss::NewRefused, true).await
}
