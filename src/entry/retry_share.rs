//! Keeps this host's share of the retries up to date.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::entry::peer_exchange::PeerState;
use crate::forward::ServingTables;
use crate::retry::{RetryShare, WindowSettings};

/// Interval between two counts of the hosts.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Adjusts this host's share to the number of hosts; runs forever. An isolated host still
/// counts the hosts that it has not forgotten.
pub(super) async fn share_retries(
    tables: Arc<ServingTables>,
    peer_state: Arc<PeerState>,
    mut share: RetryShare,
) {
    let mut last_settings = None::<WindowSettings>;
    loop {
        tokio::time::sleep(COUNT_INTERVAL).await;
        let now = Instant::now();
        let counted = peer_state.complete_count(now);
        share.observe(counted, now);
        let next_settings = share.settings();
        tables.set_budget(next_settings);
        let hosts = share.hosts().unwrap_or(0);
        tables.metrics.set_retry_hosts(hosts);
        tables.metrics.set_retry_usage(&tables.retry_usage(now));
        if last_settings.replace(next_settings) != Some(next_settings) {
            let age = now.saturating_duration_since(next_settings.opened);
            log::info!(
                hosts = hosts,
                counted = counted.unwrap_or(0),
                slack = next_settings.slack,
                age_ms = age.as_millis() as u64;
                "share of retries"
            );
        }
    }
}
