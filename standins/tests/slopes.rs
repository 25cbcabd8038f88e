//! Tests of the tool that measures the resources of a daemon.

use std::time::Duration;

use standins::json_client::CallError;
use standins::slopes::{SlopeFigures, SlopeRun, markdown_report, run_once};

const WINDOW: Duration = Duration::from_secs(3);

fn run(value: u64, figure: f64) -> SlopeRun {
    SlopeRun {
        series: "hosts".to_owned(),
        value,
        load_average: 1.0,
        figures: SlopeFigures::from([("bytes".to_owned(), figure)]),
    }
}

#[test]
fn the_line_is_fitted_through_the_medians() {
    let runs = [
        run(2, 7.0),
        run(2, 900.0),
        run(2, 6.0),
        run(4, 11.0),
        run(8, 19.0),
    ];
    let report = markdown_report(&runs);
    let line = report.lines().find(|line| line.starts_with("| bytes"));
    let expected =
        "| bytes | 7.00 (6.00–900) | 11.0 (11.0–11.0) | 19.0 (19.0–19.0) | 2.00 | 3.00 |";
    assert_eq!(line, Some(expected));
}

/// Compares the figures with known values: two hosts poll each target at most once per
/// second, each host reads the host list at most once per second, and the total of the
/// bytes is the sum over the kinds.
#[tokio::test(flavor = "multi_thread")]
async fn messages_are_counted_by_their_kind() -> Result<(), CallError> {
    let figures = run_once("targets", 8, WINDOW, true).await?.figures;
    let of = |name: &str| figures.get(name).copied().unwrap_or_default();
    // On a busy machine there may be few polls, but never more than one round above those
    // of the window.
    let polls = of("messages/s a daemon: GET load");
    assert!(polls > 0.0 && polls <= 2.7, "{polls} polls a second");
    let lists = of("messages/s a daemon: GET hosts");
    assert!(lists > 0.0 && lists <= 1.4, "{lists} lists a second");
    assert!(of("bytes/s a daemon: peers") > 0.0);
    assert!(of("appends/s in all: POST leases") > 0.0);
    let kinds = figures
        .iter()
        .filter(|(name, _)| name.starts_with("bytes/s"));
    let sum: f64 = kinds.map(|(_, bytes)| bytes).sum();
    let all = of("bytes/s a daemon: all");
    assert!((sum - 2.0 * all).abs() < 1.0, "{sum} is not twice {all}");
    Ok(())
}

/// Guards against a read interval that does not depend on the length of the host list:
/// with 390 hosts and 1,100 targets, each daemon would receive tens of kilobytes per
/// second of a list that rarely changes.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_host_list_is_read_less_often() -> Result<(), CallError> {
    let figures = run_once("targets", 400, WINDOW, true).await?.figures;
    let lists = figures.get("messages/s a daemon: GET hosts");
    let lists = lists.copied().unwrap_or_default();
    // With 408 entries the interval is 2 to 6 s, so the window contains at most two
    // reads.
    assert!(lists <= 0.7, "{lists} lists a second");
    Ok(())
}
