//! Hosts that lose their links to all targets while callers, the log and other hosts still
//! reach them.

use std::io;
use std::ops::Range;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use super::callers::{call_host, stop_callers};
use super::check::{Violation, find_violations};
use super::faults::SETTLE_TIME;
use super::history::{CallKind, CallOutcome, CallRecord, LossPeer};
use super::host_link::LinkLoss;
use super::link::LinkFault;
use super::run::{LinkScope, SoakRun, SoakSettings};
use super::target::Target;

/// Pause of a caller between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(60);
/// How long callers run before the links are lost.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Time after which hosts without links have to serve their callers.
const ADAPTATION_TIME: Duration = Duration::from_secs(3);
/// How long callers are observed after that time, and after the links are back.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);
const RETURN_TIME: Duration = Duration::from_secs(4);
/// Calls that hosts without links are sent at least while they are observed, and the
/// additional time for that.
const MIN_CALLS: u64 = 100;
const MAX_OBSERVATION_TIME: Duration = Duration::from_secs(60);
/// Hosts that keep their links when most lose them.
const CONNECTED_HOSTS: usize = 2;
/// A plain target and an engine that crash, and an engine that falls silent, by index among
/// three plain targets and six engines.
const CRASHED_TARGETS: [usize; 2] = [1, 4];
const SILENT_TARGET: usize = 5;

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

/// Hosts that lose their links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IsolatedHosts {
    /// One host.
    One,
    /// All hosts but two.
    Most,
    /// All hosts of one availability zone of two.
    Zone,
}

/// What happens in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartitionPlan {
    /// How the links are lost.
    pub loss: LinkLoss,
    /// By which hosts.
    pub hosts: IsolatedHosts,
    /// Whether a plain target and an engine crash at the same moment, and another engine
    /// falls silent for a second later.
    pub faulty_targets: bool,
}

/// Lets hosts lose their links to all targets for a while.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_partition(
    settings: SoakSettings,
    plan: PartitionPlan,
) -> io::Result<PartitionReport> {
    let links = match plan.hosts {
        IsolatedHosts::One | IsolatedHosts::Most => LinkScope::Host,
        IsolatedHosts::Zone => LinkScope::Zone,
    };
    let run = SoakRun::open_served(SoakSettings { links, ..settings }).await?;
    let hosts = run.hosts.len();
    let is_isolated = |host: usize| match plan.hosts {
        IsolatedHosts::One => host == 0,
        IsolatedHosts::Most => host < hosts.saturating_sub(CONNECTED_HOSTS),
        IsolatedHosts::Zone => host.is_multiple_of(2),
    };
    let callers = spawn_callers(&run);
    tokio::time::sleep(CALM_TIME).await;
    let set = |loss| {
        for (index, host) in run.hosts.iter().enumerate() {
            if is_isolated(index) {
                host.host.target_links.send_replace(loss);
            }
        }
    };
    let lost = Instant::now();
    set(Some(plan.loss));
    if plan.faulty_targets {
        run.targets[CRASHED_TARGETS[0]].crash();
        run.targets[CRASHED_TARGETS[1]].crash();
    }
    tokio::time::sleep(ADAPTATION_TIME).await;
    let observed = Instant::now();
    let sent_before = sent_calls(&run, &is_isolated);
    if plan.faulty_targets {
        silence(&run.targets[SILENT_TARGET]).await;
    }
    tokio::time::sleep(OBSERVATION_TIME.saturating_sub(observed.elapsed())).await;
    wait_until_sent(&run, &is_isolated, sent_before).await;
    let back = Instant::now();
    set(None);
    if plan.loss == LinkLoss::Reset {
        for host in (0..hosts).filter(|host| is_isolated(*host)) {
            run.record_loss(host, LossPeer::Targets, lost, back + SETTLE_TIME);
        }
    }
    tokio::time::sleep(RETURN_TIME).await;
    let ended = Instant::now();
    let records = stop_callers(&run.context, callers).await?;
    let count = |is_counted: &dyn Fn(usize) -> bool, sent: Range<Instant>| {
        let own = records.iter().filter(|call| is_counted(call.host));
        served_share(own.filter(|call| sent.contains(&call.sent)))
    };
    let shares = (
        count(&is_isolated, observed..back),
        count(&|host| !is_isolated(host), observed..back),
        count(&|_| true, back..ended),
    );
    let mut history = std::mem::take(&mut *run.context.history.lock());
    history.calls.extend(records);
    history.runs = std::mem::take(&mut *run.registry.runs.lock());
    history.breaks = std::mem::take(&mut *run.registry.breaks.lock());
    history.recovered = true;
    Ok(PartitionReport {
        violations: find_violations(&history, false),
        isolated: shares.0,
        connected: shares.1,
        after: shares.2,
    })
}

fn sent_calls(run: &SoakRun, is_counted: &dyn Fn(usize) -> bool) -> u64 {
    let fronts = run.context.fronts.iter().enumerate();
    let counted = fronts.filter(|(host, _)| is_counted(*host));
    let sent = counted.map(|(_, front)| front.sent.load(Ordering::Relaxed));
    sent.sum()
}

/// Waits until some hosts have been sent [`MIN_CALLS`] since `before`: on a busy machine,
/// callers send a fraction of the usual calls in the same time.
async fn wait_until_sent(run: &SoakRun, is_counted: &dyn Fn(usize) -> bool, before: u64) {
    let until = Instant::now() + MAX_OBSERVATION_TIME;
    while sent_calls(run, is_counted) < before + MIN_CALLS && Instant::now() < until {
        tokio::time::sleep(CALL_PAUSE).await;
    }
}

/// Lets a target fall silent for a second and go on.
async fn silence(target: &Target) {
    const SILENCE: Duration = Duration::from_secs(1);
    target.link.set(LinkFault::Blackhole);
    tokio::time::sleep(SILENCE).await;
    target.link.set(LinkFault::None);
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
