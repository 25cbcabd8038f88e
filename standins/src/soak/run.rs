//! One run of the soak, from its seed to its report.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::callers::{CallerDesk, call, connect, keep_calling};
use super::check::{BrokenPromise, broken_promises};
use super::configuration::{CONFIGURATION, ENGINE_SERVICE, GRACE_S, PLAIN_SERVICE, configuration};
use super::engines::TargetWorld;
use super::faults::FaultEnd;
use super::history::{CallKind, CallOutcome, Disturbance, SoakHistory};
use super::host::SoakHost;
use super::log_service::{LogFaults, LogTopics, serve_log};
use super::plan::draw_faults;
use super::probe::{HostLife, Published, balance, is_ready, look_at_versions};
use super::target::{Target, TargetPlace};
use crate::faults::FaultSwitch;
use crate::http_server::HttpServer;

/// How long a start and the recovery at the end may take. Both take about two
/// seconds; a machine that is busy with other things takes longer.
const RECOVERY_LIMIT: Duration = Duration::from_secs(30);
/// Pause between two looks while waiting for something.
pub(super) const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// Time that a stopping process may take beyond its grace time.
pub(super) const STOP_SLACK: Duration = Duration::from_secs(1);

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
pub(super) struct RunHost {
    pub(super) host: SoakHost,
    life: watch::Sender<HostLife>,
    /// When it was told to stop or killed; `None` while it should run.
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

/// A run under way.
pub(super) struct SoakRun {
    pub(super) settings: SoakSettings,
    pub(super) hosts: Vec<RunHost>,
    pub(super) targets: Vec<Target>,
    pub(super) leaving: Vec<Target>,
    pub(super) drawn_targets: usize,
    pub(super) topics: Arc<LogTopics>,
    pub(super) log_faults: FaultSwitch<LogFaults>,
    _log: HttpServer,
    pub(super) world: Arc<TargetWorld>,
    pub(super) desk: Arc<CallerDesk>,
    pub(super) published: watch::Sender<Published>,
    pub(super) ends: Vec<(Instant, FaultEnd)>,
    pub(super) disturbances: Vec<Disturbance>,
    pub(super) own_ends: Vec<String>,
    /// Engines that did not survive a request.
    pub(super) crashed: usize,
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
    run.desk.stop();
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
    pub(super) async fn open(settings: SoakSettings) -> io::Result<Self> {
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
            crashed: 0,
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

    pub(super) async fn new_target(&mut self, place: TargetPlace) -> io::Result<Target> {
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
    pub(super) async fn wait_until_served(&mut self) -> bool {
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

    /// Starts processes again, and notes those that ended by themselves or do
    /// not end in time.
    pub(super) async fn tend_hosts(&mut self, now: Instant) -> io::Result<()> {
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

    pub(super) async fn heal_all(&mut self) -> io::Result<()> {
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
