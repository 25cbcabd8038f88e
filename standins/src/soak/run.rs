//! One run of the soak, from its seed to its report.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::callers::{CallerDesk, call, connect, keep_calling};
use super::check::{BrokenPromise, broken_promises};
use super::configuration::{
    CONFIGURATION, ENGINE_SERVICE, GRACE_S, HEARTBEAT_MS, PLAIN_SERVICE, configuration,
};
use super::engines::{TargetFault, TargetWorld};
use super::history::{
    CallKind, CallOutcome, Disturbance, DisturbanceScope, SoakHistory, TargetDeparture,
};
use super::host::SoakHost;
use super::link::LinkFault;
use super::log_service::{LogFaults, LogTopics, serve_log};
use super::plan::{FaultAction, PlannedFault, draw_faults};
use super::probe::{HostLife, Published, balance, is_ready, look_at_versions};
use super::target::{Target, TargetPlace, is_engine};
use crate::faults::FaultSwitch;
use crate::http_server::HttpServer;

/// How long a start and the recovery at the end may take. Both take about two
/// seconds; a machine that is busy with other things takes longer.
const RECOVERY_LIMIT: Duration = Duration::from_secs(30);
/// Pause between two looks while waiting for something.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// How long a target serves on after it said that it leaves.
const LEAVING_TIME: Duration = Duration::from_secs(4);
/// Time that a stopping process may take beyond its grace time.
const STOP_SLACK: Duration = Duration::from_secs(1);
/// What a fault still touches after its end.
const AFTERMATH: Duration = Duration::from_millis(300);

/// One run.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Draws faults and calls.
    pub seed: u64,
    /// How long faults are made.
    pub length: Duration,
    /// Entry hosts, in two availability zones.
    pub hosts: usize,
    /// Callers that call all the time.
    pub callers: usize,
    /// The entry host's program.
    pub program: PathBuf,
    /// Where settings and logs of the processes go.
    pub folder: PathBuf,
    /// Whether promises that are bounded by times are judged.
    pub timed: bool,
}

/// What a run came to.
#[derive(Debug, Clone)]
pub struct SoakReport {
    /// Promises that were broken.
    pub broken: Vec<BrokenPromise>,
    /// Faults made.
    pub faults: usize,
    /// Everything that was seen.
    pub history: SoakHistory,
}

impl SoakReport {
    /// Calls that ended so.
    pub fn count<F>(&self, ended: F) -> usize
    where
        F: Fn(CallOutcome) -> bool,
    {
        let calls = self.history.calls.iter();
        calls.filter(|call| ended(call.outcome)).count()
    }
}

/// A host, and what the run did to it.
struct RunHost {
    host: SoakHost,
    life: watch::Sender<HostLife>,
    /// When it was told to stop or killed; `None` while it should run.
    down: Option<HostDown>,
    paused: bool,
}

#[derive(Debug, Clone, Copy)]
struct HostDown {
    since: Instant,
    /// When a new process may start.
    start_at: Instant,
    killed: bool,
}

/// Something that ends a fault.
#[derive(Debug, Clone, Copy)]
enum FaultEnd {
    Wake(usize),
    HealFront(usize),
    HealLog(usize),
    HealSeed(usize),
    HealService,
    HealTarget(usize),
    Replace(usize),
    Left,
    StopNext(usize),
}

struct SoakRun {
    settings: SoakSettings,
    hosts: Vec<RunHost>,
    targets: Vec<Target>,
    leaving: Vec<Target>,
    drawn_targets: usize,
    topics: Arc<LogTopics>,
    log_faults: FaultSwitch<LogFaults>,
    _log: HttpServer,
    world: Arc<TargetWorld>,
    desk: Arc<CallerDesk>,
    published: watch::Sender<Published>,
    ends: Vec<(Instant, FaultEnd)>,
    disturbances: Vec<Disturbance>,
    own_ends: Vec<String>,
}

/// Runs the soak once.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_soak(settings: SoakSettings) -> io::Result<SoakReport> {
    let mut run = SoakRun::open(settings).await?;
    let recovered_first = run.wait_until_served().await;
    let tasks = run.spawn_callers();
    let faults = draw_faults(
        run.settings.seed,
        run.settings.length,
        run.hosts.len(),
        run.targets.len(),
    );
    let count = faults.len();
    run.make_faults(faults).await?;
    run.heal_all().await?;
    let recovered = recovered_first && run.wait_until_served().await;
    run.desk.stopped.store(true, Ordering::Relaxed);
    for task in tasks {
        if let Err(error) = task.await {
            log::error!("a caller failed: {error}");
        }
    }
    run.stop_all().await;
    let mut history = std::mem::take(&mut *run.desk.history.lock());
    history.runs = std::mem::take(&mut *run.world.runs.lock());
    history.disturbances = run.disturbances;
    history.own_ends = run.own_ends;
    history.recovered = recovered;
    Ok(SoakReport {
        broken: broken_promises(&history, run.settings.timed),
        faults: count,
        history,
    })
}

fn zone_name(index: usize) -> String {
    format!("zone-{}", index % 2)
}

/// Three plain targets, and in each zone three engines.
fn target_places() -> Vec<TargetPlace> {
    let plain = (0..3).map(|index| TargetPlace {
        service: PLAIN_SERVICE,
        zone: zone_name(index),
        kind: None,
    });
    let engines = (0..6).map(|index| TargetPlace {
        service: ENGINE_SERVICE,
        zone: zone_name(index),
        kind: Some(if index < 4 { "fast" } else { "slow" }),
    });
    plain.chain(engines).collect()
}

impl SoakRun {
    async fn open(settings: SoakSettings) -> io::Result<Self> {
        let topics = Arc::new(LogTopics::default());
        let log_faults = FaultSwitch::new(LogFaults::default());
        let log = serve_log(topics.clone(), log_faults.clone()).await?;
        let mut hosts = Vec::new();
        for index in 0..settings.hosts {
            let zone = zone_name(index);
            let (program, folder) = (&settings.program, &settings.folder);
            let host = SoakHost::open(index, &zone, log.local_addr(), program, folder).await?;
            hosts.push(RunHost {
                host,
                life: watch::Sender::new(HostLife::default()),
                down: None,
                paused: false,
            });
        }
        let fronts = hosts.iter().map(|host| host.host.front.address);
        let desk = Arc::new(CallerDesk::new(fronts.collect()));
        let first = Published {
            version: 1,
            at: Instant::now(),
        };
        topics.append(CONFIGURATION.0, CONFIGURATION.1, Some(configuration(1)));
        let mut run = Self {
            settings,
            hosts,
            targets: Vec::new(),
            leaving: Vec::new(),
            drawn_targets: 0,
            topics,
            log_faults,
            _log: log,
            world: Arc::default(),
            desk,
            published: watch::Sender::new(first),
            ends: Vec::new(),
            disturbances: Vec::new(),
            own_ends: Vec::new(),
        };
        for place in target_places() {
            let target = run.new_target(place).await?;
            run.targets.push(target);
        }
        for index in 0..run.hosts.len() {
            run.start_host(index).await?;
        }
        Ok(run)
    }

    async fn new_target(&mut self, place: TargetPlace) -> io::Result<Target> {
        self.drawn_targets += 1;
        let id = format!("target-{}", self.drawn_targets);
        Target::spawn(place, id, self.world.clone(), self.topics.clone()).await
    }

    async fn start_host(&mut self, index: usize) -> io::Result<()> {
        let seeds = self.hosts.iter().take(3);
        let seeds = seeds.map(|host| host.host.seed.address).collect::<Vec<_>>();
        let run = &mut self.hosts[index];
        run.host.start(&seeds).await?;
        let listening = *run.host.listening.borrow();
        run.life.send_replace(HostLife {
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
            tasks.push(tokio::spawn(keep_calling(self.desk.clone(), seed)));
        }
        for (index, host) in self.hosts.iter().enumerate() {
            let life = host.life.subscribe();
            tasks.push(tokio::spawn(balance(
                self.desk.clone(),
                index,
                life.clone(),
            )));
            tasks.push(tokio::spawn(look_at_versions(
                self.desk.clone(),
                index,
                life,
                self.published.subscribe(),
            )));
        }
        tasks
    }

    /// Waits until every host is ready and answers a call of each kind.
    async fn wait_until_served(&mut self) -> bool {
        let until = Instant::now() + RECOVERY_LIMIT;
        for index in 0..self.hosts.len() {
            while !self.is_served(index).await {
                if Instant::now() >= until {
                    return false;
                }
                tokio::time::sleep(LOOK_PAUSE).await;
            }
        }
        true
    }

    async fn is_served(&self, index: usize) -> bool {
        let readiness = self.hosts[index].life.borrow().readiness;
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
            let front = self.desk.fronts[index].address;
            let Some(mut connection) = connect(front).await else {
                return false;
            };
            let record = call(&self.desk, &mut connection, index, kind).await;
            let outcome = record.outcome;
            self.desk.history.lock().calls.push(record);
            if !matches!(outcome, CallOutcome::Answered { status: 200, .. }) {
                return false;
            }
        }
        true
    }

    async fn make_faults(&mut self, faults: Vec<PlannedFault>) -> io::Result<()> {
        let started = Instant::now();
        let mut faults = faults.into_iter().peekable();
        while started.elapsed() < self.settings.length {
            let passed = started.elapsed();
            while let Some(fault) = faults.next_if(|fault| fault.at <= passed) {
                self.begin(fault.action, fault.lasts).await?;
            }
            self.end_due(Instant::now()).await?;
            self.tend_hosts(Instant::now()).await?;
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        Ok(())
    }

    /// Notes what is touched, and when it will be over.
    fn disturb(&mut self, scope: DisturbanceScope, planned: bool, lasts: Duration) {
        let now = Instant::now();
        self.disturbances.push(Disturbance {
            scope,
            planned,
            from: now,
            until: now + lasts + AFTERMATH,
        });
    }

    fn end_after(&mut self, lasts: Duration, end: FaultEnd) {
        self.ends.push((Instant::now() + lasts, end));
    }

    async fn begin(&mut self, action: FaultAction, lasts: Duration) -> io::Result<()> {
        log::info!("{action:?} for {lasts:?}");
        let stop_time = Duration::from_secs(GRACE_S) + STOP_SLACK;
        match action {
            FaultAction::Kill(host) => {
                self.disturb(DisturbanceScope::Host(host), false, lasts + STOP_SLACK);
                self.take_down(host, true, lasts);
            }
            FaultAction::Stop(host) => {
                self.disturb(DisturbanceScope::Host(host), true, stop_time);
                self.take_down(host, false, Duration::ZERO);
            }
            FaultAction::StopEach => self.stop_next(0),
            FaultAction::Pause(host) => {
                self.disturb(DisturbanceScope::Host(host), false, lasts);
                self.hosts[host].host.signal(Signal::SIGSTOP);
                self.hosts[host].paused = true;
                self.end_after(lasts, FaultEnd::Wake(host));
            }
            FaultAction::Hangup(host) => self.hosts[host].host.signal(Signal::SIGHUP),
            FaultAction::FrontLink(host, fault) => {
                self.disturb(DisturbanceScope::Host(host), false, lasts);
                self.hosts[host].host.front.set(fault);
                self.end_after(lasts, FaultEnd::HealFront(host));
            }
            FaultAction::LogLink(host, fault) => {
                self.disturb(DisturbanceScope::Host(host), false, lasts);
                self.hosts[host].host.log.set(fault);
                self.end_after(lasts, FaultEnd::HealLog(host));
            }
            FaultAction::SeedLink(host, fault) => {
                self.disturb(DisturbanceScope::Host(host), false, lasts);
                self.hosts[host].host.seed.set(fault);
                self.end_after(lasts, FaultEnd::HealSeed(host));
            }
            FaultAction::LogDead | FaultAction::LogBusy | FaultAction::LogSlow => {
                self.disturb(DisturbanceScope::Log, false, lasts);
                self.log_faults.set(LogFaults {
                    dead: action == FaultAction::LogDead,
                    busy: action == FaultAction::LogBusy,
                    delay: match action {
                        FaultAction::LogSlow => Duration::from_millis(250),
                        _ => Duration::ZERO,
                    },
                });
                self.end_after(lasts, FaultEnd::HealService);
            }
            FaultAction::LogForgets => {
                self.disturb(DisturbanceScope::Log, false, Duration::ZERO);
                self.topics.forget_history();
            }
            FaultAction::TargetLink(target, fault) => {
                self.disturb(DisturbanceScope::Target, false, lasts);
                let reachable = matches!(fault, LinkFault::None | LinkFault::Delay(_));
                self.targets[target].link.set(fault);
                self.targets[target].update(|state| state.reachable = reachable);
                self.end_after(lasts, FaultEnd::HealTarget(target));
            }
            FaultAction::TargetSpoils(target, spoiled) => {
                self.disturb(DisturbanceScope::Target, false, lasts);
                self.targets[target].update(|state| state.fault = spoiled.fault());
                self.end_after(lasts, FaultEnd::HealTarget(target));
            }
            FaultAction::TargetCrash(target) => {
                let lasts = lasts.max(Duration::from_millis(3 * HEARTBEAT_MS));
                self.disturb(DisturbanceScope::Target, false, lasts);
                self.targets[target].crash();
                self.end_after(lasts, FaultEnd::Replace(target));
            }
            FaultAction::TargetLeaves(target) => self.leave(target).await?,
            FaultAction::Publish => self.publish(),
        }
        Ok(())
    }

    fn take_down(&mut self, index: usize, killed: bool, lasts: Duration) {
        let run = &mut self.hosts[index];
        if run.down.is_some_and(|down| down.killed) {
            return;
        }
        run.host.signal(if killed {
            Signal::SIGKILL
        } else {
            Signal::SIGTERM
        });
        let now = Instant::now();
        run.down = Some(HostDown {
            since: now,
            start_at: now + lasts,
            killed,
        });
    }

    fn stop_next(&mut self, host: usize) {
        const PAUSE: Duration = Duration::from_secs(1);
        let stop_time = Duration::from_secs(GRACE_S) + STOP_SLACK;
        self.disturb(DisturbanceScope::Host(host), true, stop_time);
        self.take_down(host, false, Duration::ZERO);
        if host + 1 < self.hosts.len() {
            self.end_after(PAUSE, FaultEnd::StopNext(host + 1));
        }
    }

    async fn leave(&mut self, index: usize) -> io::Result<()> {
        let new = self.new_target(self.targets[index].place.clone()).await?;
        let old = std::mem::replace(&mut self.targets[index], new);
        old.drain();
        let departure = TargetDeparture {
            target: old.id.clone(),
            at: Instant::now(),
        };
        self.desk.history.lock().departures.push(departure);
        self.leaving.push(old);
        self.end_after(LEAVING_TIME, FaultEnd::Left);
        Ok(())
    }

    fn publish(&mut self) {
        let version = self.published.borrow().version + 1;
        let value = Some(configuration(version));
        self.topics.append(CONFIGURATION.0, CONFIGURATION.1, value);
        let at = Instant::now();
        self.published.send_replace(Published { version, at });
    }

    async fn end_due(&mut self, now: Instant) -> io::Result<()> {
        let due = self.ends.extract_if(.., |(at, _)| *at <= now);
        let due = due.map(|(_, end)| end).collect::<Vec<_>>();
        for end in due {
            self.end(end).await?;
        }
        Ok(())
    }

    async fn end(&mut self, end: FaultEnd) -> io::Result<()> {
        match end {
            FaultEnd::Wake(host) => {
                self.hosts[host].host.signal(Signal::SIGCONT);
                self.hosts[host].paused = false;
            }
            FaultEnd::HealFront(host) => self.hosts[host].host.front.set(LinkFault::None),
            FaultEnd::HealLog(host) => self.hosts[host].host.log.set(LinkFault::None),
            FaultEnd::HealSeed(host) => self.hosts[host].host.seed.set(LinkFault::None),
            FaultEnd::HealService => self.log_faults.set(LogFaults::default()),
            FaultEnd::HealTarget(target) => self.heal_target(target),
            FaultEnd::Replace(target) => self.replace(target).await?,
            FaultEnd::Left => {
                if !self.leaving.is_empty() {
                    let left = self.leaving.remove(0);
                    left.lapse();
                    left.crash();
                }
            }
            FaultEnd::StopNext(host) => self.stop_next(host),
        }
        Ok(())
    }

    fn heal_target(&mut self, target: usize) {
        self.targets[target].link.set(LinkFault::None);
        self.targets[target].update(|state| {
            state.reachable = true;
            state.fault = TargetFault::None;
        });
    }

    async fn replace(&mut self, target: usize) -> io::Result<()> {
        self.targets[target].lapse();
        let place = self.targets[target].place.clone();
        if is_engine(&place) {
            log::info!("an empty engine starts in {}", place.zone);
        }
        self.targets[target] = self.new_target(place).await?;
        Ok(())
    }

    /// Starts processes again, and notes those that ended by themselves or do
    /// not end in time.
    async fn tend_hosts(&mut self, now: Instant) -> io::Result<()> {
        let grace = Duration::from_secs(GRACE_S) + STOP_SLACK;
        for index in 0..self.hosts.len() {
            let run = &mut self.hosts[index];
            let ended = run.host.reap();
            let name = format!("{} life {}", run.host.name, run.host.incarnation);
            match (run.down, ended) {
                (None, Some(_)) => {
                    self.own_ends.push(format!("{name} ended by itself"));
                    self.start_host(index).await?;
                }
                (Some(down), Some(false)) if !down.killed => {
                    self.own_ends.push(format!("{name} ended with an error"));
                }
                (Some(down), None) if !down.killed && now > down.since + grace => {
                    if !run.paused && run.host.is_running() {
                        self.own_ends.push(format!("{name} does not end"));
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

    async fn heal_all(&mut self) -> io::Result<()> {
        let ends = std::mem::take(&mut self.ends);
        for (_, end) in ends {
            match end {
                FaultEnd::StopNext(_) => {}
                end => self.end(end).await?,
            }
        }
        while self.hosts.iter().any(|host| host.down.is_some()) {
            self.tend_hosts(Instant::now()).await?;
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        Ok(())
    }

    /// Stops every host, callers having left.
    async fn stop_all(&mut self) {
        for index in 0..self.hosts.len() {
            self.take_down(index, false, Duration::MAX / 4);
        }
        let until = Instant::now() + Duration::from_secs(GRACE_S) + STOP_SLACK;
        for run in &mut self.hosts {
            while run.host.is_running() && Instant::now() < until {
                tokio::time::sleep(LOOK_PAUSE).await;
            }
            if run.host.is_running() {
                self.own_ends
                    .push(format!("{} does not end at last", run.host.name));
            }
        }
    }
}
