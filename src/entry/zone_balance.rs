//! Keeps the shares of the zones' requests that go to other zones up to date.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::forward::ServingTables;

/// Interval between two updates: that of the capacity view.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Updates the shares from the capacity view and reports what is sent where; runs forever.
pub(super) async fn balance_zones(tables: Arc<ServingTables>) {
    let percent = |part: f64| (part * 100.0).round() as u64;
    loop {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        for event in tables.update_balance(Instant::now()) {
            log::info!(
                service:% = event.service,
                from:% = event.flow.from,
                to:% = event.flow.to,
                share_percent = percent(event.flow.share),
                from_percent = event.from_utilisation.map(percent),
                to_percent = event.to_utilisation.map(percent);
                "zone balance"
            );
        }
    }
}
