//! Targets that fail all calls while all hosts are killed and start again.

use std::io;
use std::time::Duration;

use super::callers::{call_host, stop_callers};
use super::check::{RetryWindow, fullest_window};
use super::configuration::{PLAIN_SERVICE, RETRY_WINDOW};
use super::engines::TargetFault;
use super::history::CallKind;
use super::run::{SoakRun, SoakSettings};

/// Callers at each host, and the pause of each between two calls: over a hundred calls a
/// second at four hosts.
const CALLERS: usize = 3;
const CALL_PAUSE: Duration = Duration::from_millis(10);
/// How long targets fail before each start of all hosts: longer than hosts need to send all
/// retries that they saved in a window without failures.
const FAILING_TIME: Duration = Duration::from_secs(3);
/// Number of starts of all hosts, within one window.
const RESTARTS: usize = 2;

/// What targets received again.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryReport {
    /// The fullest window.
    pub fullest: Option<RetryWindow>,
    /// Number of calls.
    pub calls: usize,
}

/// Calls all hosts, lets the plain targets fail after a window without failures, and kills
/// and starts all hosts again meanwhile.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_failures_over_restarts(settings: SoakSettings) -> io::Result<RetryReport> {
    let mut run = SoakRun::open_served(settings).await?;
    let hosts = (0..run.hosts.len() * CALLERS).map(|index| index % run.hosts.len());
    let callers = hosts.map(|host| {
        let context = run.context.clone();
        tokio::spawn(call_host(context, host, CallKind::Idempotent, CALL_PAUSE))
    });
    let callers = callers.collect::<Vec<_>>();
    tokio::time::sleep(RETRY_WINDOW).await;
    for target in &run.targets {
        if target.spec.service == PLAIN_SERVICE {
            target.update(|state| state.fault = TargetFault::Fails);
        }
    }
    for _ in 0..RESTARTS {
        run.run_for(FAILING_TIME).await?;
        run.restart_all().await?;
    }
    run.run_for(FAILING_TIME).await?;
    let records = stop_callers(&run.context, callers).await?;
    let mut history = std::mem::take(&mut *run.context.history.lock());
    history.calls.extend(records);
    history.attempts = std::mem::take(&mut *run.registry.attempts.lock());
    history.retry_bound = run.settings.retries;
    Ok(RetryReport {
        fullest: fullest_window(&history, CallKind::Idempotent),
        calls: history.calls.len(),
    })
}
