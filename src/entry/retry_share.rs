//! Divides the retries that the platform allows among the entry hosts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::entry::EntryBounds;
use crate::entry::peer_exchange::PeerState;
use crate::forward::ServingTables;
use crate::retry::WindowSettings;

/// Minimum number of hosts among which the slack is divided until the other hosts are
/// known.
const MIN_HOSTS: usize = 12;
/// Fraction of the allowed retries that is used, as hosts count each other with a delay.
const USED_SHARE: f64 = 0.9;
/// Fraction of this host's share in the first window after a start: the previous process
/// may have used its share already.
const START_SHARE: f64 = 0.3;
/// Interval between two counts of the hosts.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a start within which the other hosts become known.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Returns this host's share right after its start.
pub(super) fn first_share(bounds: EntryBounds) -> WindowSettings {
    share(bounds, MIN_HOSTS, START_SHARE)
}

fn share(bounds: EntryBounds, hosts: usize, part: f64) -> WindowSettings {
    WindowSettings {
        window: bounds.retry_window,
        ratio: bounds.retry_ratio * USED_SHARE,
        slack: bounds.retry_slack * USED_SHARE * part / hosts as f64,
    }
}

/// Adjusts this host's share to the number of known hosts; runs forever. An isolated host
/// still counts the hosts that it has not forgotten.
pub(super) async fn share_retries(
    tables: Arc<ServingTables>,
    peer_state: Arc<PeerState>,
    bounds: EntryBounds,
) {
    let started = Instant::now();
    let mut last_share = None;
    loop {
        tokio::time::sleep(COUNT_INTERVAL).await;
        let now = Instant::now();
        let age = now.saturating_duration_since(started);
        let known = peer_state.known_count();
        let hosts = match known {
            2.. if age >= SETTLE_TIME => known,
            _ => known.max(MIN_HOSTS),
        };
        let part = match age >= bounds.retry_window {
            true => 1.0,
            false => START_SHARE,
        };
        let next_share = share(bounds, hosts, part);
        tables.set_budget(next_share);
        tables.metrics.set_retry_hosts(hosts);
        tables.metrics.set_retry_usage(&tables.retry_usage(now));
        if last_share.replace(next_share) != Some(next_share) {
            log::info!(
                hosts = hosts,
                known = known,
                slack = next_share.slack,
                age_ms = age.as_millis() as u64;
                "share of retries"
            );
        }
    }
}
