//! Ends the serving of callers without cutting requests.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::drain::DrainWindow;
use crate::forward::{ServingHandle, ServingTables};

/// Time reserved before the platform would kill the process.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end from which no new request is accepted: plain services respond in
/// about 30 ms and nearly all within half a second. A request accepted 26 ms before the end
/// is run and its response lost.
const CLOSING_TIME: Duration = Duration::from_millis(700);
/// Time in which the balancer takes this host out of rotation: it checks once a second and
/// needs two failures. Callers that it sends until then are still served.
const BALANCER_DELAY: Duration = Duration::from_millis(2600);

/// Interval at which the requests in flight are counted.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Serves requests until the balancer sends no more, finishes those in flight, and sends
/// their responses, at most until shortly before the process would be killed.
pub async fn drain(tables: &ServingTables, serving: ServingHandle, grace: Duration) {
    let started = Instant::now();
    tables.begin_drain(DrainWindow::open(started, grace));
    let end = started + grace.saturating_sub(STOP_MARGIN);
    while Instant::now() < end {
        if Instant::now() >= started + BALANCER_DELAY {
            tables.closing.store(true, Ordering::Relaxed);
        }
        if Instant::now() + CLOSING_TIME >= end {
            tables.ending.store(true, Ordering::Relaxed);
        }
        let idle = tables.in_flight.load(Ordering::Relaxed) == 0;
        if idle && Instant::now() >= started + BALANCER_DELAY {
            break;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    serving.shutdown(end).await;
}
