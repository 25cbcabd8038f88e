//! One run of the soak, from its seed to its report.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::callers::{CallerContext, call, call_until_stopped, connect};
use super::check::{RetryWindow, Violation, find_violations, fullest_windows};
use super::configuration::{
    CONFIGURATION, ENGINE_SERVICE, HostBounds, HostLimits, PLAIN_SERVICE, RetryBound, ServingTimes,
    configuration,
};
use super::engines::{TARGET_IP, TargetRegistry};
use super::faults::FaultEnd;
use super::history::{CallKind, CallOutcome, Disturbance, LossPeer, SoakHistory};
use super::host::SoakHost;
use super::log_service::{LogFaults, LogTopics, serve_log};
use super::plan::{
    SoakTrouble, draw_faults, draw_link_losses, draw_log_losses, draw_standstills, draw_statements,
};
use super::probe::{HostProcess, Published, balance, is_ready, probe_versions};
use super::target::{Target, TargetSpec};
use crate::faults::FaultSwitch;
use crate::http_server::HttpServer;

/// Timeout of the start and of the recovery at the end. Both take about two seconds, and
/// longer on a busy machine.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of polling while waiting for a condition.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of availability zones, unless each host has its own.
const ZONES: usize = 2;
/// Time that a stopping process may take beyond its grace period.
pub(super) const STOP_SLACK: Duration = Duration::from_secs(1);

/// Time before the end of its grace period in which a stopping process may end
/// connections.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Hosts that share their links to the targets, and lose them together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkScope {
    /// All hosts; no host can lose them.
    Fleet,
    /// The hosts of an availability zone.
    Zone,
    /// Each host has links and an availability zone of its own: hosts of a zone pass the
    /// addresses of targets on to each other.
    Host,
}

/// Targets that a run starts with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetFleet {
    /// Three plain targets, and three engines in each zone.
    Several,
    /// One plain target, and as many engines as one path needs.
    OnePath,
}

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Seed of the faults and calls.
    pub seed: u64,
    /// How long faults are injected.
    pub length: Duration,
    /// Number of entry hosts, in two availability zones.
    pub hosts: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Path of the entry host's program.
    pub program: PathBuf,
    /// Directory for the settings and logs of the processes.
    pub folder: PathBuf,
    /// Whether guarantees with a time bound are checked.
    pub timed: bool,
    /// Which hosts share their links to the targets.
    pub links: LinkScope,
    /// Targets at the start.
    pub targets: TargetFleet,
    /// Bound on retries in the settings of the hosts.
    pub retries: RetryBound,
    /// Times for which hosts serve.
    pub times: ServingTimes,
    /// What each host has, and what its callers may send.
    pub limits: HostLimits,
    /// Whether targets stand still beside the other faults.
    pub standstills: bool,
    /// Whether targets fail half of the calls that reach them.
    pub half_fails: bool,
    /// Whether the hosts' settings name seeds at which nothing listens.
    pub outdated_seeds: bool,
}

/// Result of a run.
#[derive(Debug, Clone)]
pub struct SoakReport {
    /// Violations of guarantees.
    pub violations: Vec<Violation>,
    /// Number of faults injected.
    pub faults: usize,
    /// The window of each service that is nearest to the bound on retries.
    pub retries: Vec<RetryWindow>,
    /// Everything that was recorded.
    pub history: SoakHistory,
}

impl SoakReport {
    /// Returns the number of calls whose outcome matches `ended`.
    pub fn count<F>(&self, ended: F) -> usize
    where
        F: Fn(CallOutcome) -> bool,
    {
        let calls = self.history.calls.iter();
        calls.filter(|call| ended(call.outcome)).count()
    }
}

/// A host and its state in the run.
pub(super) struct RunHost {
    pub(super) host: SoakHost,
    process: watch::Sender<HostProcess>,
    /// Set while the host has been stopped or killed; `None` while it should run.
    pub(super) down: Option<HostDown>,
    pub(super) paused: bool,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct HostDown {
    pub(super) since: Instant,
    /// When a new process may start.
    pub(super) start_at: Instant,
    pub(super) killed: bool,
}

/// A run in progress.
pub(super) struct SoakRun {
    pub(super) settings: SoakSettings,
    pub(super) hosts: Vec<RunHost>,
    pub(super) targets: Vec<Target>,
    pub(super) leaving: Vec<Target>,
    pub(super) started_targets: usize,
    pub(super) topics: Arc<LogTopics>,
    pub(super) log_faults: FaultSwitch<LogFaults>,
    _logs: Vec<HttpServer>,
    /// Internal port of all hosts.
    internal_port: u16,
    pub(super) registry: Arc<TargetRegistry>,
    pub(super) context: Arc<CallerContext>,
    pub(super) published: watch::Sender<Published>,
    pub(super) scheduled_ends: Vec<(Instant, FaultEnd)>,
    pub(super) disturbances: Vec<Disturbance>,
    pub(super) unexpected_exits: Vec<String>,
    /// When requests crashed engines.
    pub(super) crashes: Vec<Instant>,
    /// Whether targets fail half of the calls now.
    half_fails: bool,
}

/// Runs the soak once.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_soak(settings: SoakSettings) -> io::Result<SoakReport> {
    let mut run = SoakRun::open(settings).await?;
    let started = run.wait_until_served().await;
    let tasks = run.spawn_callers();
    let SoakSettings { seed, length, .. } = run.settings;
    let (hosts, targets) = (run.hosts.len(), run.targets.len());
    let mut faults = draw_faults(seed, length, hosts, targets);
    faults.extend(draw_statements(seed, length, targets));
    faults.extend(draw_log_losses(seed, length, targets));
    if run.settings.links != LinkScope::Fleet {
        faults.extend(draw_link_losses(seed, length, hosts));
    }
    if run.settings.standstills {
        faults.extend(draw_standstills(seed, length, targets));
    }
    if run.settings.half_fails {
        let trouble = SoakTrouble::of_seed(seed);
        faults.retain(|fault| trouble.includes(fault.action));
    }
    faults.sort_by_key(|fault| fault.at);
    let count = faults.len();
    run.set_half_fails(run.settings.half_fails);
    run.inject_faults(faults).await?;
    run.heal_all().await?;
    run.set_half_fails(false);
    let recovered = started && run.wait_until_served().await;
    run.context.stop();
    for task in tasks {
        if let Err(error) = task.await {
            log::error!("caller task failed: {error}");
        }
    }
    run.stop_all().await;
    let mut history = std::mem::take(&mut *run.context.history.lock());
    history.runs = std::mem::take(&mut *run.registry.runs.lock());
    history.attempts = std::mem::take(&mut *run.registry.attempts.lock());
    history.breaks = std::mem::take(&mut *run.registry.breaks.lock());
    history.disturbances = run.disturbances;
    history.unexpected_exits = run.unexpected_exits;
    history.recovered = recovered;
    history.retry_bound = run.settings.retries;
    Ok(SoakReport {
        violations: find_violations(&history, run.settings.timed),
        faults: count,
        retries: fullest_windows(&history),
        history,
    })
}

/// Returns the address at which a host reaches the targets.
fn target_ip(settings: &SoakSettings, index: usize) -> IpAddr {
    let scope = match settings.links {
        LinkScope::Fleet => return TARGET_IP,
        LinkScope::Zone => index % ZONES,
        LinkScope::Host => index,
    };
    // More hosts than one byte counts would share links.
    let number = u8::try_from(scope + 1).unwrap_or(u8::MAX);
    IpAddr::from([127, 0, 3, number])
}

/// Returns a port that is free at the moment.
fn free_port() -> io::Result<u16> {
    let listener = std::net::TcpListener::bind(("127.0.2.1", 0))?;
    Ok(listener.local_addr()?.port())
}

fn zone_name(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

/// Returns the targets of a fleet. The engines of one path are in one zone, since the
/// layers are placed zone by zone.
fn target_specs(fleet: TargetFleet) -> Vec<TargetSpec> {
    let (plain, engines, zones) = match fleet {
        TargetFleet::Several => (3, 6, ZONES),
        TargetFleet::OnePath => (1, 2, 1),
    };
    let plain = (0..plain).map(|index| TargetSpec {
        service: PLAIN_SERVICE,
        zone: zone_name(index % zones),
        kind: None,
    });
    let engines = (0..engines).map(|index| TargetSpec {
        service: ENGINE_SERVICE,
        zone: zone_name(index % zones),
        kind: Some(if index < 4 { "fast" } else { "slow" }),
    });
    plain.chain(engines).collect()
}

impl SoakRun {
    /// Starts a run and waits until all hosts serve.
    ///
    /// # Errors
    ///
    /// If processes or sockets cannot be set up, or a host does not serve.
    pub(super) async fn open_served(settings: SoakSettings) -> io::Result<Self> {
        let mut run = Self::open(settings).await?;
        match run.wait_until_served().await {
            true => Ok(run),
            false => Err(io::Error::other("the hosts do not serve requests")),
        }
    }

    pub(super) async fn open(settings: SoakSettings) -> io::Result<Self> {
        let topics = Arc::new(LogTopics::default());
        let log_faults = FaultSwitch::new(LogFaults::default());
        let mut logs = Vec::new();
        let mut hosts = Vec::new();
        for index in 0..settings.hosts {
            let zone = match settings.links {
                LinkScope::Host => format!("zone-{index}"),
                LinkScope::Fleet | LinkScope::Zone => zone_name(index),
            };
            let log = serve_log(
                topics.clone(),
                log_faults.clone(),
                target_ip(&settings, index),
            );
            let log = log.await?;
            let (program, folder) = (&settings.program, &settings.folder);
            let bounds = HostBounds {
                retries: settings.retries,
                grace: settings.times.grace,
                limits: settings.limits,
            };
            let host =
                SoakHost::open(index, &zone, log.local_addr(), program, folder, bounds).await?;
            logs.push(log);
            hosts.push(RunHost {
                host,
                process: watch::Sender::new(HostProcess::default()),
                down: None,
                paused: false,
            });
        }
        let fronts = hosts.iter().map(|host| host.host.front.address);
        let context = Arc::new(CallerContext::new(fronts.collect()));
        let first = Published {
            version: 1,
            at: Instant::now(),
        };
        topics.append(
            CONFIGURATION.0,
            CONFIGURATION.1,
            Some(configuration(1, settings.times.route, settings.limits)),
        );
        let mut run = Self {
            settings,
            hosts,
            targets: Vec::new(),
            leaving: Vec::new(),
            started_targets: 0,
            topics,
            log_faults,
            _logs: logs,
            internal_port: free_port()?,
            registry: Arc::default(),
            context,
            published: watch::Sender::new(first),
            scheduled_ends: Vec::new(),
            disturbances: Vec::new(),
            unexpected_exits: Vec::new(),
            crashes: Vec::new(),
            half_fails: false,
        };
        for spec in target_specs(run.settings.targets) {
            let target = run.new_target(spec).await?;
            run.targets.push(target);
        }
        for index in 0..run.hosts.len() {
            run.start_host(index).await?;
        }
        Ok(run)
    }

    pub(super) async fn new_target(&mut self, spec: TargetSpec) -> io::Result<Target> {
        self.started_targets += 1;
        let id = format!("target-{}", self.started_targets);
        let target = Target::spawn(spec, id, self.registry.clone(), self.topics.clone());
        let mut target = target.await?;
        let half_fails = self.half_fails;
        target.update(|state| state.half_fails = half_fails);
        let scopes = match self.settings.links {
            LinkScope::Fleet => 0,
            LinkScope::Zone => ZONES.min(self.hosts.len()),
            LinkScope::Host => self.hosts.len(),
        };
        for (index, run) in self.hosts[..scopes].iter().enumerate() {
            let ip = target_ip(&self.settings, index);
            target.open_host_link(ip, run.host.target_links.subscribe())?;
        }
        Ok(target)
    }

    fn set_half_fails(&mut self, half_fails: bool) {
        self.half_fails = half_fails;
        for target in &self.targets {
            target.update(|state| state.half_fails = half_fails);
        }
    }

    async fn start_host(&mut self, index: usize) -> io::Result<()> {
        let outdated = [7001, 7002, 7003].map(|port| SocketAddr::from(([127, 9, 9, 1], port)));
        let seeds = match self.settings.outdated_seeds {
            true => outdated.to_vec(),
            false => {
                let seeds = self.hosts.iter().take(3);
                seeds.map(|host| host.host.seed.address).collect()
            }
        };
        let run = &mut self.hosts[index];
        run.host.start(&seeds, self.internal_port).await?;
        let listening = *run.host.listening.borrow();
        run.process.send_replace(HostProcess {
            incarnation: run.host.incarnation,
            readiness: listening.map(|line| line.readiness),
        });
        run.down = None;
        run.paused = false;
        Ok(())
    }

    fn spawn_callers(&self) -> Vec<JoinHandle<()>> {
        let mut tasks = Vec::new();
        for index in 0..self.settings.callers {
            let seed = self.settings.seed.wrapping_mul(1000) + index as u64;
            tasks.push(tokio::spawn(call_until_stopped(self.context.clone(), seed)));
        }
        for (index, host) in self.hosts.iter().enumerate() {
            let process = host.process.subscribe();
            tasks.push(tokio::spawn(balance(
                self.context.clone(),
                index,
                process.clone(),
            )));
            tasks.push(tokio::spawn(probe_versions(
                self.context.clone(),
                index,
                process,
                self.published.subscribe(),
            )));
        }
        tasks
    }

    /// Waits until every host is ready and responds to a call of each kind.
    pub(super) async fn wait_until_served(&mut self) -> bool {
        let until = Instant::now() + RECOVERY_TIMEOUT;
        for index in 0..self.hosts.len() {
            while !self.is_served(index).await {
                if Instant::now() >= until {
                    return false;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        true
    }

    async fn is_served(&self, index: usize) -> bool {
        let readiness = self.hosts[index].process.borrow().readiness;
        let Some(readiness) = readiness else {
            return false;
        };
        if !is_ready(readiness).await {
            return false;
        }
        for kind in [
            CallKind::Idempotent,
            CallKind::NonIdempotent,
            CallKind::Stream,
        ] {
            let front = self.context.fronts[index].address;
            let Some(mut connection) = connect(front).await else {
                return false;
            };
            let record = call(&self.context, &mut connection, index, kind).await;
            let outcome = record.outcome;
            self.context.history.lock().calls.push(record);
            if !matches!(outcome, CallOutcome::Completed { status: 200, .. }) {
                return false;
            }
        }
        true
    }

    /// Restarts processes, and records those that exited unexpectedly or did not exit in
    /// time.
    pub(super) async fn supervise_hosts(&mut self, now: Instant) -> io::Result<()> {
        let grace = self.settings.times.grace + STOP_SLACK;
        for index in 0..self.hosts.len() {
            let ended = self.hosts[index].host.reap();
            self.record_grace_end(index, now, ended.is_some());
            let run = &mut self.hosts[index];
            let name = format!("{} process {}", run.host.name, run.host.incarnation);
            match (run.down, ended) {
                (None, Some(_)) => {
                    self.unexpected_exits
                        .push(format!("{name} exited unexpectedly"));
                    self.start_host(index).await?;
                }
                (Some(down), Some(false)) if !down.killed => {
                    self.unexpected_exits
                        .push(format!("{name} exited with an error"));
                }
                (Some(down), None) if !down.killed && now > down.since + grace => {
                    if !run.paused && run.host.is_running() {
                        self.unexpected_exits
                            .push(format!("{name} did not exit in time"));
                    }
                    run.host.signal(Signal::SIGKILL);
                    run.down = Some(HostDown {
                        killed: true,
                        ..down
                    });
                }
                _ => {}
            }
            let run = &mut self.hosts[index];
            let due = run.down.is_some_and(|down| now >= down.start_at);
            if due && !run.host.is_running() {
                run.host.reap();
                self.start_host(index).await?;
            }
        }
        Ok(())
    }

    /// Records that a host ended connections because its grace period was over.
    fn record_grace_end(&self, index: usize, now: Instant, exited: bool) {
        let Some(down) = self.hosts[index].down.filter(|down| !down.killed) else {
            return;
        };
        let end = down.since + self.settings.times.grace;
        if now + GRACE_MARGIN >= end && (exited || now > end + STOP_SLACK) {
            self.record_loss(
                index,
                LossPeer::Callers,
                end - GRACE_MARGIN,
                now + STOP_SLACK,
            );
        }
    }

    pub(super) async fn heal_all(&mut self) -> io::Result<()> {
        let scheduled_ends = std::mem::take(&mut self.scheduled_ends);
        for (_, end) in scheduled_ends {
            match end {
                FaultEnd::StopNext(_) => {}
                end => self.end(end).await?,
            }
        }
        while self.hosts.iter().any(|host| host.down.is_some()) {
            self.supervise_hosts(Instant::now()).await?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Stops every host after the callers have stopped.
    async fn stop_all(&mut self) {
        for index in 0..self.hosts.len() {
            self.take_down(index, false, Duration::MAX / 4);
        }
        let until = Instant::now() + self.settings.times.grace + STOP_SLACK;
        for run in &mut self.hosts {
            while run.host.is_running() && Instant::now() < until {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            if run.host.is_running() {
                self.unexpected_exits
                    .push(format!("{} did not exit at the final stop", run.host.name));
            }
        }
    }
}
