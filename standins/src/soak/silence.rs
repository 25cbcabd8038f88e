//! Targets that stand still for a while and go on, while configurations come in quick
//! succession.

use std::collections::{BTreeMap, HashSet};
use std::io;
use std::time::{Duration, Instant};

use jackdawwick::collections::FastMap;
use tokio::task::JoinHandle;

use super::callers::{call_host_within, stop_callers};
use super::check::{CLOSE_RACE_TIME, Violation, find_violations};
use super::configuration::{ENGINE_SERVICE, PLAIN_SERVICE, RetryBound};
use super::engines::{PathPosition, TargetFault};
use super::history::{CallKind, CallOutcome, CallRecord, LossPeer, RunRecord, SoakHistory};
use super::host_link::LinkLoss;
use super::run::{LinkScope, SoakRun, SoakSettings, TargetFleet};

/// Callers at each host, and the pause of each between two calls.
const CALLERS: usize = 8;
const CALL_PAUSE: Duration = Duration::from_millis(50);
/// Deadlines of streams and of whole responses. A host that waits for half of the latter has
/// given up before a silence of 1.5 s ends.
const STREAM_DEADLINE: Duration = Duration::from_secs(6);
const PLAIN_DEADLINE: Duration = Duration::from_millis(2500);
/// Interval of the configurations.
const CHANGE_INTERVAL: Duration = Duration::from_millis(150);
/// How long targets fail, so that retries are used up.
const FAILING_TIME: Duration = Duration::from_millis(1200);
/// Retries for runs in which they are used up.
const FEW_RETRIES: RetryBound = RetryBound {
    ratio: 0.02,
    slack: 6.0,
};
/// Retries for runs without another target, in which a retry that cannot be sent is not spent.
const NO_RETRIES: RetryBound = RetryBound {
    ratio: 0.0,
    slack: 0.0,
};
/// Time in which a host notices that its links to the targets are lost.
const ADAPTATION_TIME: Duration = Duration::from_secs(3);
/// How long callers run after the last silence, and the time whose calls tell which target is
/// the busiest.
const CALM_TIME: Duration = Duration::from_millis(800);
/// How many targets stand still, one after the other.
const ROUNDS: usize = 2;
/// Time from the begin of a silence to what happens during it.
const DISRUPTION_DELAY: Duration = Duration::from_millis(300);
/// Host that loses its links or is stopped.
const DISTURBED_HOST: usize = 0;

/// What happens while a target stands still, besides changes of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceDisruption {
    /// Nothing.
    None,
    /// The log announces that the target leaves.
    TargetLeaves,
    /// A host receives SIGTERM.
    HostStops,
}

/// What happens in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilencePlan {
    /// Kind of all calls.
    pub kind: CallKind,
    /// Where the engine that stands still is in the paths of streams.
    pub position: PathPosition,
    /// How long a target stands still.
    pub silence: Duration,
    /// How long callers run before each silence.
    pub calm: Duration,
    /// Whether there is another target.
    pub targets: TargetFleet,
    /// Whether targets fail before, until no retry is left.
    pub spends_retries: bool,
    /// Whether the called host has lost its links to the targets and uses gateways.
    pub uses_gateway: bool,
    /// What happens during the silence.
    pub disruption: SilenceDisruption,
}

/// A call that was read whole and got neither its response nor a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnansweredCall {
    /// The response was cut.
    Cut,
    /// The connection ended without a response.
    NoResponse,
    /// The response has this status, and is no true statement that the call has not run.
    Failed(u16),
    /// The response is not the one of the call.
    WrongResponse,
    /// The deadline passed.
    TimedOut,
}

/// What callers and targets recorded. Calls that were sent while targets failed do not count.
#[derive(Debug, Clone, PartialEq)]
pub struct SilenceReport {
    /// Violations of the guarantees without a time bound.
    pub violations: Vec<Violation>,
    /// All calls.
    pub calls: usize,
    /// Calls that ran on a target when it fell silent, or were sent to it meanwhile.
    pub held: usize,
    /// Calls that were refused as not run.
    pub refused: usize,
    /// Calls without a response and without a refusal, by how they ended.
    pub unanswered: BTreeMap<UnansweredCall, usize>,
    /// Whether a host logged that it had no retry left.
    pub has_spent_retries: bool,
}

/// A target that stood still.
struct Standstill {
    target: String,
    until: Instant,
    /// Streams that ran on it.
    running: Vec<String>,
    /// When a host received SIGTERM meanwhile.
    stopped: Option<Instant>,
}

impl SilencePlan {
    fn service(&self) -> &'static str {
        match self.kind.is_stream() {
            true => ENGINE_SERVICE,
            false => PLAIN_SERVICE,
        }
    }

    fn deadline(&self) -> Duration {
        match self.kind.is_stream() {
            true => STREAM_DEADLINE,
            false => PLAIN_DEADLINE,
        }
    }

    fn rounds(&self) -> usize {
        match self.disruption {
            SilenceDisruption::None => ROUNDS,
            SilenceDisruption::TargetLeaves | SilenceDisruption::HostStops => 1,
        }
    }

    fn settings(&self, settings: SoakSettings) -> SoakSettings {
        SoakSettings {
            targets: self.targets,
            links: match self.uses_gateway {
                true => LinkScope::Host,
                false => LinkScope::Fleet,
            },
            retries: match (self.spends_retries, self.targets) {
                (true, TargetFleet::Several) => FEW_RETRIES,
                (true, TargetFleet::OnePath) => NO_RETRIES,
                (false, _) => RetryBound::default(),
            },
            ..settings
        }
    }
}

/// Lets targets stand still, one after the other, while hosts forward calls to them.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_silence(settings: SoakSettings, plan: SilencePlan) -> io::Result<SilenceReport> {
    let mut run = SoakRun::open_served(plan.settings(settings)).await?;
    let callers = spawn_callers(&run, plan);
    if plan.uses_gateway {
        let links = &run.hosts[DISTURBED_HOST].host.target_links;
        links.send_replace(Some(LinkLoss::Reset));
        let lost = Instant::now();
        run.record_loss(
            DISTURBED_HOST,
            LossPeer::Targets,
            lost,
            lost + ADAPTATION_TIME,
        );
        run.publish_for(ADAPTATION_TIME).await?;
    }
    if plan.spends_retries {
        set_fault(&run, plan, TargetFault::Fails);
        run.publish_for(FAILING_TIME).await?;
        set_fault(&run, plan, TargetFault::None);
    }
    let sound_since = Instant::now();
    let mut standstills = Vec::new();
    for _ in 0..plan.rounds() {
        run.publish_for(plan.calm).await?;
        standstills.push(stand_still(&mut run, plan).await?);
    }
    run.publish_for(CALM_TIME).await?;
    let mut calls = stop_callers(&run.context, callers).await?;
    let history = std::mem::take(&mut *run.context.history.lock());
    let mut history = SoakHistory {
        runs: std::mem::take(&mut *run.registry.runs.lock()),
        attempts: std::mem::take(&mut *run.registry.attempts.lock()),
        breaks: std::mem::take(&mut *run.registry.breaks.lock()),
        recovered: true,
        ..history
    };
    history.calls.extend(calls.iter().cloned());
    calls.retain(|call| call.sent >= sound_since);
    let ran = history.runs.iter().map(|ran| ran.id.as_str());
    let ran = ran.collect::<HashSet<_>>();
    let stopped = standstills.iter().find_map(|still| still.stopped);
    let stopped_log = run.hosts[DISTURBED_HOST].host.log_text()?;
    let was_read = |call: &CallRecord| {
        let is_stopped = call.host == DISTURBED_HOST;
        ran.contains(call.id.as_str())
            || match stopped.filter(|stopped| is_stopped && call.sent >= *stopped) {
                Some(_) => stopped_log.contains(&call.id),
                None => call.ended > call.sent + CLOSE_RACE_TIME,
            }
    };
    let mut unanswered = BTreeMap::new();
    let ends = calls
        .iter()
        .filter(|call| !is_refused(call, &ran))
        .filter_map(|call| find_fault(call.outcome, || was_read(call)));
    for end in ends {
        *unanswered.entry(end).or_default() += 1;
    }
    let refused = calls.iter().filter(|call| is_refused(call, &ran));
    Ok(SilenceReport {
        violations: find_violations(&history, false),
        calls: calls.len(),
        held: count_held(&standstills, &calls, &history.runs),
        refused: refused.count(),
        unanswered,
        has_spent_retries: has_spent_retries(&run)?,
    })
}

fn spawn_callers(run: &SoakRun, plan: SilencePlan) -> Vec<JoinHandle<Vec<CallRecord>>> {
    let hosts = match plan.uses_gateway {
        true => DISTURBED_HOST..DISTURBED_HOST + 1,
        false => 0..run.hosts.len(),
    };
    let spawn = |host| {
        let context = run.context.clone();
        let (kind, deadline) = (plan.kind, plan.deadline());
        tokio::spawn(call_host_within(context, host, kind, CALL_PAUSE, deadline))
    };
    hosts
        .flat_map(|host| std::iter::repeat_n(host, CALLERS))
        .map(spawn)
        .collect()
}

/// Sets the fault of all targets of the called service.
fn set_fault(run: &SoakRun, plan: SilencePlan, fault: TargetFault) {
    let targets = run.targets.iter();
    for target in targets.filter(|target| target.spec.service == plan.service()) {
        target.update(|state| state.fault = fault);
    }
}

/// Lets the target stand still on which most calls run, and go on.
async fn stand_still(run: &mut SoakRun, plan: SilencePlan) -> io::Result<Standstill> {
    let index = busiest_target(run, plan);
    let target = &run.targets[index];
    target.stand_still();
    let running = run.registry.streams_at(target.link.address, plan.position);
    let id = target.id.clone();
    run.publish_for(DISRUPTION_DELAY).await?;
    let mut stopped = None;
    match plan.disruption {
        SilenceDisruption::None => {}
        SilenceDisruption::TargetLeaves => run.targets[index].drain(),
        SilenceDisruption::HostStops => {
            stopped = Some(Instant::now());
            run.take_down(DISTURBED_HOST, false, Duration::MAX / 4);
        }
    }
    let rest = plan.silence.saturating_sub(DISRUPTION_DELAY);
    run.publish_for(rest).await?;
    let until = Instant::now();
    run.targets[index].go_on();
    Ok(Standstill {
        target: id,
        until,
        running,
        stopped,
    })
}

/// Returns the target with most running streams, or with most calls lately.
fn busiest_target(run: &SoakRun, plan: SilencePlan) -> usize {
    let runs = run.registry.runs.lock().clone();
    let load = |index: &usize| {
        let target = &run.targets[*index];
        let streams = run.registry.streams_at(target.link.address, plan.position);
        let lately = runs.iter().filter(|ran| ran.at.elapsed() < CALM_TIME);
        let calls = lately.filter(|ran| ran.target == target.id);
        (streams.len(), calls.count())
    };
    let targets = 0..run.targets.len();
    let own = targets.filter(|index| run.targets[*index].spec.service == plan.service());
    own.max_by_key(load).unwrap_or_default()
}

/// Returns how a call ended that was not refused, unless it got its response or was not read.
pub(super) fn find_fault<F>(outcome: CallOutcome, was_read: F) -> Option<UnansweredCall>
where
    F: FnOnce() -> bool,
{
    match outcome {
        CallOutcome::Completed {
            status: 200,
            sealed: true,
            matching: true,
        }
        | CallOutcome::NoConnection
        | CallOutcome::Probe => None,
        CallOutcome::Completed { status: 200, .. } => Some(UnansweredCall::WrongResponse),
        CallOutcome::Completed { status, .. } => Some(UnansweredCall::Failed(status)),
        CallOutcome::Interrupted => Some(UnansweredCall::Cut),
        CallOutcome::Unanswered => was_read().then_some(UnansweredCall::NoResponse),
        CallOutcome::TimedOut => Some(UnansweredCall::TimedOut),
    }
}

/// Returns whether a call was truly refused as not run.
pub(super) fn is_refused(call: &CallRecord, ran: &HashSet<&str>) -> bool {
    let has_status = matches!(
        call.outcome,
        CallOutcome::Completed {
            status: 429 | 503,
            ..
        }
    );
    has_status && call.not_run && !ran.contains(call.id.as_str())
}

/// Counts the calls that ran on a target when it fell silent, or reached it as it went on.
fn count_held(standstills: &[Standstill], calls: &[CallRecord], runs: &[RunRecord]) -> usize {
    let calls = calls.iter().map(|call| (call.id.as_str(), call.sent));
    let sent = calls.collect::<FastMap<_, _>>();
    let held = standstills.iter().flat_map(|still| {
        let was_sent_during = |id: &str| sent.get(id).is_some_and(|sent| *sent < still.until);
        let reached = runs.iter().filter(move |ran| {
            ran.target == still.target && ran.at >= still.until && was_sent_during(&ran.id)
        });
        let running = still.running.iter().map(String::as_str);
        let running = running.filter(|id| sent.contains_key(id));
        running.chain(reached.map(|ran| ran.id.as_str()))
    });
    held.collect::<HashSet<_>>().len()
}

/// Returns whether a host logged that it had no retry left.
fn has_spent_retries(run: &SoakRun) -> io::Result<bool> {
    for host in &run.hosts {
        if host.host.log_text()?.contains("no retry left") {
            return Ok(true);
        }
    }
    Ok(false)
}

impl SoakRun {
    /// Publishes configurations for a while.
    pub(super) async fn publish_for(&mut self, time: Duration) -> io::Result<()> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.publish();
            let left = until.saturating_duration_since(Instant::now());
            self.run_for(CHANGE_INTERVAL.min(left)).await?;
        }
        Ok(())
    }
}
