//! A request that crashes engines, sent to entry hosts that run as processes.

mod support;

use standins::soak::{PoisonReport, run_poison_request};
use support::TestResult;
use support::soaks::soak_settings;

const HOSTS: usize = 4;

/// Guards against a request that crashes engine after engine, through whichever host it
/// is sent: hosts did not share what they had observed of it, and lost it when their
/// processes ended. Three hosts each see an engine crash; all hosts are killed and
/// restarted, and the request is sent again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_poison_request_is_refused_by_all_hosts_and_after_a_start_of_all() -> TestResult {
    let (settings, _folder) = soak_settings(HOSTS).await?;
    let report = run_poison_request(settings).await?;
    let expected = PoisonReport {
        crashed: 3,
        refused_by: HOSTS,
        refused_after_restart: HOSTS,
        crashed_later: 0,
    };
    assert_eq!(report, expected);
    Ok(())
}
