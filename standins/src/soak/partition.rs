//! Hosts that lose their links to all targets while callers, the log and other hosts still
//! reach them.

use std::io;
use std::ops::Range;
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use super::callers::{call_host, stop_callers};
use super::check::{Violation, find_violations};
use super::history::{CallKind, CallOutcome, CallRecord};
use super::host_link::LinkLoss;
use super::run::{SoakRun, SoakSettings};

/// Pause of a caller between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(60);
/// How long callers run before the links are lost.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Time after which hosts without links have to serve their callers.
const ADAPTATION_TIME: Duration = Duration::from_secs(3);
/// How long callers are observed after that time, and after the links are back.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);
const RETURN_TIME: Duration = Duration::from_secs(4);
/// Hosts that keep their links.
const CONNECTED_HOSTS: usize = 2;

/// Calls of some hosts in one period. No call is repeated by its caller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServedShare {
    /// All calls.
    pub sent: usize,
    /// Calls with a successful response.
    pub served: usize,
}

impl ServedShare {
    /// Returns the calls without a successful response.
    pub fn failed(&self) -> usize {
        self.sent - self.served
    }

    /// Returns the share of the calls with a successful response.
    pub fn share(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// What callers and targets recorded.
#[derive(Debug, Clone, PartialEq)]
pub struct PartitionReport {
    /// Violations of the guarantees without a time bound.
    pub violations: Vec<Violation>,
    /// Calls at the hosts without links to targets, from 3 s after the loss on.
    pub isolated: ServedShare,
    /// Calls at the other hosts in the same period.
    pub connected: ServedShare,
    /// Calls at all hosts after the links are back.
    pub after: ServedShare,
}

/// Lets all hosts but two lose their links to all targets for a while.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_partition(settings: SoakSettings, loss: LinkLoss) -> io::Result<PartitionReport> {
    let run = SoakRun::open_served(SoakSettings {
        separate_links: true,
        ..settings
    })
    .await?;
    let isolated = run.hosts.len().saturating_sub(CONNECTED_HOSTS);
    let callers = spawn_callers(&run);
    tokio::time::sleep(CALM_TIME).await;
    let set = |loss| {
        for host in &run.hosts[..isolated] {
            host.host.target_links.send_replace(loss);
        }
    };
    set(Some(loss));
    tokio::time::sleep(ADAPTATION_TIME).await;
    let observed = Instant::now();
    tokio::time::sleep(OBSERVATION_TIME).await;
    let back = Instant::now();
    set(None);
    tokio::time::sleep(RETURN_TIME).await;
    let ended = Instant::now();
    let records = stop_callers(&run.context, callers).await?;
    let count = |is_counted: &dyn Fn(usize) -> bool, sent: Range<Instant>| {
        let own = records.iter().filter(|call| is_counted(call.host));
        served_share(own.filter(|call| sent.contains(&call.sent)))
    };
    let shares = (
        count(&|host| host < isolated, observed..back),
        count(&|host| host >= isolated, observed..back),
        count(&|_| true, back..ended),
    );
    let mut history = std::mem::take(&mut *run.context.history.lock());
    history.calls.extend(records);
    history.runs = std::mem::take(&mut *run.registry.runs.lock());
    history.recovered = true;
    Ok(PartitionReport {
        violations: find_violations(&history, false),
        isolated: shares.0,
        connected: shares.1,
        after: shares.2,
    })
}

fn spawn_callers(run: &SoakRun) -> Vec<JoinHandle<Vec<CallRecord>>> {
    let kinds = [
        CallKind::Idempotent,
        CallKind::NonIdempotent,
        CallKind::Stream,
    ];
    let mut callers = Vec::new();
    for host in 0..run.hosts.len() {
        let spawn = |kind| tokio::spawn(call_host(run.context.clone(), host, kind, CALL_PAUSE));
        callers.extend(kinds.map(spawn));
    }
    callers
}

fn served_share<'a, I>(calls: I) -> ServedShare
where
    I: Iterator<Item = &'a CallRecord>,
{
    let mut share = ServedShare::default();
    for call in calls {
        let is_served = matches!(call.outcome, CallOutcome::Completed { status: 200, .. });
        share.sent += 1;
        share.served += usize::from(is_served);
    }
    share
}
