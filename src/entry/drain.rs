//! Ends the serving of callers without cutting requests.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::drain::DrainWindow;
use crate::forward::{GatewayHandle, ServingHandle, ServingTables};

/// Interval at which the requests in flight are counted.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Serves requests until the balancer sends no more, finishes those in flight, and sends
/// their responses, at most until shortly before the process would be killed.
pub async fn drain(
    tables: &ServingTables,
    serving: ServingHandle,
    gateway: Option<GatewayHandle>,
    grace: Duration,
) {
    let window = DrainWindow::open(Instant::now(), grace);
    tables.begin_drain(window);
    while !window.may_stop(tables.in_flight.load(Ordering::Relaxed), Instant::now()) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let end = window.close_at();
    let gateway = async {
        if let Some(gateway) = gateway {
            gateway.shutdown(end).await;
        }
    };
    tokio::join!(serving.shutdown(end), gateway);
}
