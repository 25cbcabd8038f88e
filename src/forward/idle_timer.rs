//! Limits how long a connection of a caller is kept without a request.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};

use super::tables::ServingTables;

/// Time that an idle connection is kept beyond the configured timeout, so that a request
/// that is in transit at that moment still finds it open.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Timer of one connection, which hyper uses for the time until the head of a request.
///
/// Callers reuse connections by the newest configuration, which may allow longer pauses than
/// the one that was in effect when the connection was accepted. A shorter limit does not
/// apply to connections that are open.
pub(super) struct IdleTimer {
    tables: Arc<ServingTables>,
    /// Limit when the connection was accepted.
    pub(super) first_limit: Duration,
}

impl IdleTimer {
    pub(super) fn open(tables: Arc<ServingTables>) -> Self {
        let first_limit = idle_limit(&tables);
        Self {
            tables,
            first_limit,
        }
    }
}

impl Timer for IdleTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(IdleSleep {
            tables: self.tables.clone(),
            first_limit: self.first_limit,
            first_deadline: deadline,
            sleep: Box::pin(tokio::time::sleep_until(deadline.into())),
        })
    }
}

/// Sleeps until the limit has passed that is in effect at that moment.
struct IdleSleep {
    tables: Arc<ServingTables>,
    first_limit: Duration,
    first_deadline: Instant,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl Sleep for IdleSleep {}

impl Future for IdleSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(context));
            let longer = idle_limit(&self.tables).saturating_sub(self.first_limit);
            let deadline = (self.first_deadline + longer).into();
            if deadline <= self.sleep.deadline() {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(deadline);
        }
    }
}

fn idle_limit(tables: &ServingTables) -> Duration {
    let configuration = tables.configuration.load();
    let limits = configuration.as_ref().map(|known| known.limits);
    limits.unwrap_or_default().idle + IDLE_MARGIN
}

impl fmt::Debug for IdleTimer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("IdleTimer");
        debug
            .field("first_limit", &self.first_limit)
            .finish_non_exhaustive()
    }
}
