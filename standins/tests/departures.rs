//! Targets that leave while entry hosts are without the log, against real processes.

mod support;

use standins::soak::{
    DepartureReport, run_departure_during_log_outage, run_departure_with_host_cut_off,
};
use support::TestResult;
use support::soaks::soak_settings;

/// In two zones.
const HOSTS: usize = 4;

fn has_no_late_runs(report: &DepartureReport) -> bool {
    report.late_runs == 0 && report.runs_before > 0 && report.unanswered == 0
}

/// Symptom: a host sends requests to a target for as long as it has lost the log, though
/// its neighbours know that the target left. Sequence: the first host of a zone loses the
/// log alone; a target leaves. Cause: hosts ask only those of their zone that come before
/// them for the log, and nobody comes before the first. Evidence: played days on which the
/// log turned that host away: it had no line on a target that left until the log was back,
/// 6 to 9 s later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_lost_the_log_hears_from_its_neighbours_who_leaves() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let report = run_departure_with_host_cut_off(settings).await?;
    assert!(has_no_late_runs(&report), "{report:?}");
    Ok(())
}

/// Symptom: a request reaches a target 3.3 s after the log had acknowledged that it
/// leaves. Sequence: all hosts of a zone are without the log; a target of another zone
/// leaves, whose hosts had the log all the while; the log is back. The targets of the cut
/// zone, whose entries lapsed, live, and have to be used on. Cause: each host took its own
/// absence for one of the log, kept for 2.5 s whatever the log listed no more, and looked
/// at that with a later read; hosts that followed it took its doubts over. Evidence: lines
/// of a played day, in which a zone's first host was back after 6.1 s, kept five targets
/// that left with sixteen that lapsed, and dropped the five 3.02 s later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn who_left_during_a_cut_gets_nothing_after_it_and_who_lapsed_is_kept() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let report = run_departure_during_log_outage(settings).await?;
    assert!(has_no_late_runs(&report), "{report:?}");
    assert!(report.runs_on_expired > 0, "{report:?}");
    Ok(())
}
