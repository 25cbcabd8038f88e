//! Injects the planned faults and ends them.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::configuration::{CONFIGURATION, HEARTBEAT_MS, TARGETS, configuration};
use super::engines::TargetFault;
use super::history::{
    ConnectionLoss, Disturbance, DisturbanceScope, LossPeer, TargetDeparture, TargetLimit,
};
use super::host_link::LinkLoss;
use super::link::LinkFault;
use super::log_service::LogFaults;
use super::plan::{FaultAction, PlannedFault};
use super::probe::Published;
use super::run::{HostDown, POLL_INTERVAL, STOP_SLACK, SoakRun};
use super::target::Target;
use crate::check::AdvertisedLimit;

/// How long a target keeps serving after it announced that it leaves.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Minimum time for which a target advertises a limit, which has to be kept after 3 s.
const MIN_LIMIT_TIME: Duration = Duration::from_secs(5);
/// How long a fault may have effects after its end.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Action that ends a fault.
#[derive(Debug, Clone, Copy)]
pub(super) enum FaultEnd {
    Resume(usize),
    HealFront(usize),
    HealLog(usize),
    HealSeed(usize),
    HealLinks(usize),
    HealService,
    /// The log goes back to a copy of this moment.
    RestoreLog(Instant),
    /// A target whose heartbeats are late leaves.
    LeaveLate(SocketAddr),
    HealTarget(usize),
    LiftLimit(usize),
    /// Ends the standstill of the target behind an address, which may be leaving by then.
    GoOn(SocketAddr),
    Replace(usize),
    Departed,
    StopNext(usize),
}

impl SoakRun {
    pub(super) async fn inject_faults(&mut self, faults: Vec<PlannedFault>) -> io::Result<()> {
        let started = Instant::now();
        let mut faults = faults.into_iter().peekable();
        while started.elapsed() < self.settings.length {
            let passed = started.elapsed();
            while let Some(fault) = faults.next_if(|fault| fault.at <= passed) {
                self.inject(fault.action, fault.duration).await?;
            }
            self.topics.copy_if_due(Instant::now());
            self.stop_crashed_engines();
            self.end_due_faults(Instant::now()).await?;
            self.supervise_hosts(Instant::now()).await?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Records what a fault affects, and until when.
    fn record_disturbance(&mut self, scope: DisturbanceScope, planned: bool, duration: Duration) {
        let now = Instant::now();
        self.disturbances.push(Disturbance {
            scope,
            planned,
            from: now,
            until: now + duration + SETTLE_TIME,
        });
    }

    /// Records that connections of a host may end from `from` to `until`.
    pub(super) fn record_loss(&self, host: usize, peer: LossPeer, from: Instant, until: Instant) {
        self.context.history.lock().losses.push(ConnectionLoss {
            host,
            peer,
            from,
            until,
        });
    }

    pub(super) fn end_after(&mut self, duration: Duration, end: FaultEnd) {
        self.scheduled_ends.push((Instant::now() + duration, end));
    }

    async fn inject(&mut self, action: FaultAction, duration: Duration) -> io::Result<()> {
        log::info!("injecting {action:?} for {duration:?}");
        let stop_time = self.settings.times.grace + STOP_SLACK;
        match action {
            FaultAction::Kill(host) => {
                self.record_disturbance(DisturbanceScope::Host(host), false, duration + STOP_SLACK);
                self.take_down(host, true, duration);
            }
            FaultAction::Stop(host) => {
                self.record_disturbance(DisturbanceScope::Host(host), true, stop_time);
                self.take_down(host, false, Duration::ZERO);
            }
            FaultAction::RollingRestart => self.stop_next(0),
            FaultAction::Pause(host) => {
                self.record_disturbance(DisturbanceScope::Host(host), false, duration);
                self.hosts[host].host.signal(Signal::SIGSTOP);
                self.hosts[host].paused = true;
                self.end_after(duration, FaultEnd::Resume(host));
            }
            FaultAction::Hangup(host) => self.hosts[host].host.signal(Signal::SIGHUP),
            FaultAction::FrontLink(host, fault) => {
                self.record_disturbance(DisturbanceScope::Host(host), false, duration);
                if fault == LinkFault::Reset {
                    let now = Instant::now();
                    self.record_loss(host, LossPeer::Callers, now, now + duration + SETTLE_TIME);
                }
                self.hosts[host].host.front.set(fault);
                self.end_after(duration, FaultEnd::HealFront(host));
            }
            FaultAction::LogLink(host, fault) => {
                self.record_disturbance(DisturbanceScope::Host(host), false, duration);
                self.hosts[host].host.log.set(fault);
                self.end_after(duration, FaultEnd::HealLog(host));
            }
            FaultAction::HostLinks(host, loss) => {
                self.record_disturbance(DisturbanceScope::Host(host), false, duration);
                if loss == LinkLoss::Reset {
                    let now = Instant::now();
                    self.record_loss(host, LossPeer::Targets, now, now + duration + SETTLE_TIME);
                }
                self.hosts[host].host.target_links.send_replace(Some(loss));
                self.end_after(duration, FaultEnd::HealLinks(host));
            }
            FaultAction::SeedLink(host, fault) => {
                self.record_disturbance(DisturbanceScope::Host(host), false, duration);
                self.hosts[host].host.seed.set(fault);
                self.end_after(duration, FaultEnd::HealSeed(host));
            }
            FaultAction::LogOffline | FaultAction::LogBusy | FaultAction::LogSlow => {
                self.record_disturbance(DisturbanceScope::Log, false, duration);
                self.log_faults.set(LogFaults {
                    offline: action == FaultAction::LogOffline,
                    busy: action == FaultAction::LogBusy,
                    delay: match action {
                        FaultAction::LogSlow => Duration::from_millis(250),
                        _ => Duration::ZERO,
                    },
                });
                self.end_after(duration, FaultEnd::HealService);
            }
            FaultAction::LogTruncation => {
                self.record_disturbance(DisturbanceScope::Log, false, Duration::ZERO);
                self.topics.truncate_history();
            }
            FaultAction::TargetLink(target, fault) => {
                self.record_disturbance(DisturbanceScope::Target, false, duration);
                let reachable = matches!(fault, LinkFault::None | LinkFault::Delay(_));
                if fault == LinkFault::Reset {
                    self.registry
                        .record_reset(self.targets[target].link.address);
                }
                self.targets[target].link.set(fault);
                self.targets[target].update(|state| state.reachable = reachable);
                self.end_after(duration, FaultEnd::HealTarget(target));
            }
            FaultAction::TargetMisbehaves(target, target_fault) => {
                self.record_disturbance(DisturbanceScope::Target, false, duration);
                self.targets[target].update(|state| state.fault = target_fault);
                self.end_after(duration, FaultEnd::HealTarget(target));
            }
            FaultAction::TargetCrash(target) => {
                let duration = duration.max(Duration::from_millis(3 * HEARTBEAT_MS));
                self.record_disturbance(DisturbanceScope::Target, false, duration);
                self.targets[target].crash();
                self.end_after(duration, FaultEnd::Replace(target));
            }
            FaultAction::TargetLeaves(target) => self.leave(target).await?,
            FaultAction::TargetPauses(target, pause) => {
                self.record_disturbance(DisturbanceScope::Target, false, duration);
                let fault = TargetFault::RequestsPause(pause);
                self.targets[target].update(|state| state.fault = fault);
                self.end_after(duration, FaultEnd::HealTarget(target));
            }
            FaultAction::TargetStatesLeaving(target) => {
                let old = self.replace_leaving(target).await?;
                old.state_leaving();
                self.leaving.push(old);
                self.end_after(DRAIN_TIME, FaultEnd::Departed);
            }
            FaultAction::TargetLimits(target, per_second) => {
                self.start_limiting(target, per_second, duration);
            }
            FaultAction::TargetStandsStill(target) => {
                self.record_disturbance(DisturbanceScope::Target, false, duration);
                self.targets[target].stand_still();
                let address = self.targets[target].link.address;
                self.end_after(duration, FaultEnd::GoOn(address));
            }
            FaultAction::LogRestore(age) => {
                self.record_disturbance(DisturbanceScope::Log, false, duration);
                self.log_faults.set(LogFaults {
                    busy: true,
                    ..LogFaults::default()
                });
                let now = Instant::now();
                let copied = now.checked_sub(age).unwrap_or(now);
                self.end_after(duration, FaultEnd::RestoreLog(copied));
            }
            FaultAction::LateHeartbeats(target, delay) => {
                self.targets[target].update(|state| state.heartbeat_delay = Some(delay));
                let address = self.targets[target].link.address;
                self.end_after(duration, FaultEnd::LeaveLate(address));
            }
            FaultAction::Publish => self.publish(),
        }
        Ok(())
    }

    pub(super) fn take_down(&mut self, index: usize, killed: bool, duration: Duration) {
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
        if killed {
            self.record_loss(index, LossPeer::Callers, now, now + STOP_SLACK);
        }
        self.hosts[index].down = Some(HostDown {
            since: now,
            start_at: now + duration,
            killed,
        });
    }

    fn stop_next(&mut self, host: usize) {
        const PAUSE: Duration = Duration::from_secs(1);
        let stop_time = self.settings.times.grace + STOP_SLACK;
        self.record_disturbance(DisturbanceScope::Host(host), true, stop_time);
        self.take_down(host, false, Duration::ZERO);
        if host + 1 < self.hosts.len() {
            self.end_after(PAUSE, FaultEnd::StopNext(host + 1));
        }
    }

    /// Starts a target in place of one that is about to leave, which is returned.
    async fn replace_leaving(&mut self, index: usize) -> io::Result<Target> {
        let new = self.new_target(self.targets[index].spec.clone()).await?;
        Ok(std::mem::replace(&mut self.targets[index], new))
    }

    async fn leave(&mut self, index: usize) -> io::Result<()> {
        let old = self.replace_leaving(index).await?;
        old.drain();
        let departure = TargetDeparture {
            target: old.id.clone(),
            at: Instant::now(),
        };
        self.context.history.lock().departures.push(departure);
        self.leaving.push(old);
        self.end_after(DRAIN_TIME, FaultEnd::Departed);
        Ok(())
    }

    /// Makes a target advertise a limit for a while, unless it already advertises one.
    fn start_limiting(&mut self, index: usize, per_second: u32, duration: Duration) {
        let target = &self.targets[index];
        if self.registry.state(target.link.address).limit.is_some() {
            return;
        }
        target.update(|state| state.limit = Some(per_second.to_string()));
        let from = Instant::now();
        let duration = duration + MIN_LIMIT_TIME;
        let limit = AdvertisedLimit {
            per_second: per_second.into(),
            from,
            until: from + duration,
        };
        self.context.history.lock().limits.push(TargetLimit {
            target: target.id.clone(),
            limit,
        });
        self.end_after(duration, FaultEnd::LiftLimit(index));
    }

    pub(super) fn publish(&mut self) {
        let version = self.published.borrow().version + 1;
        let value = Some(configuration(
            version,
            self.settings.times.route,
            self.settings.limits,
        ));
        self.topics.append(CONFIGURATION.0, CONFIGURATION.1, value);
        let at = Instant::now();
        self.published.send_replace(Published { version, at });
    }

    pub(super) async fn end_due_faults(&mut self, now: Instant) -> io::Result<()> {
        let due = self.scheduled_ends.extract_if(.., |(at, _)| *at <= now);
        let due = due.map(|(_, end)| end).collect::<Vec<_>>();
        for end in due {
            self.end(end).await?;
        }
        Ok(())
    }

    pub(super) async fn end(&mut self, end: FaultEnd) -> io::Result<()> {
        match end {
            FaultEnd::Resume(host) => {
                self.hosts[host].host.signal(Signal::SIGCONT);
                self.hosts[host].paused = false;
            }
            FaultEnd::HealFront(host) => self.hosts[host].host.front.set(LinkFault::None),
            FaultEnd::HealLog(host) => self.hosts[host].host.log.set(LinkFault::None),
            FaultEnd::HealSeed(host) => self.hosts[host].host.seed.set(LinkFault::None),
            FaultEnd::HealLinks(host) => {
                self.hosts[host].host.target_links.send_replace(None);
            }
            FaultEnd::HealService => self.log_faults.set(LogFaults::default()),
            FaultEnd::RestoreLog(copied) => self.restore_log(copied),
            FaultEnd::LeaveLate(address) => {
                let mut targets = self.targets.iter();
                let index = targets.position(|target| target.link.address == address);
                if let Some(index) = index {
                    self.targets[index].update(|state| state.heartbeat_delay = None);
                    self.leave(index).await?;
                }
            }
            FaultEnd::HealTarget(target) => self.heal_target(target),
            FaultEnd::LiftLimit(target) => self.targets[target].update(|state| state.limit = None),
            FaultEnd::GoOn(address) => {
                let mut targets = self.targets.iter().chain(&self.leaving);
                if let Some(target) = targets.find(|target| target.link.address == address) {
                    target.go_on();
                }
            }
            FaultEnd::Replace(target) => self.replace(target).await?,
            FaultEnd::Departed => {
                if !self.leaving.is_empty() {
                    let left = self.leaving.remove(0);
                    left.remove_from_log();
                    left.crash();
                }
            }
            FaultEnd::StopNext(host) => self.stop_next(host),
        }
        Ok(())
    }

    /// Restores the log. The operator and the targets write again what it lost.
    fn restore_log(&mut self, copied: Instant) {
        self.log_faults.set(LogFaults::default());
        self.topics.restore(copied);
        let version = self.published.borrow().version;
        let value = Some(configuration(
            version,
            self.settings.times.route,
            self.settings.limits,
        ));
        self.topics.append(CONFIGURATION.0, CONFIGURATION.1, value);
        let targets = self.targets.iter().chain(&self.leaving);
        let targets = targets.collect::<Vec<_>>();
        for id in self.topics.keys(TARGETS) {
            if !targets.iter().any(|target| target.id == id) {
                self.topics.append(TARGETS, &id, None);
            }
        }
        for target in targets {
            let state = self.registry.state(target.link.address);
            if state.reachable && !state.still {
                target.write_heartbeat();
            }
        }
    }

    fn heal_target(&mut self, target: usize) {
        self.targets[target].link.set(LinkFault::None);
        self.targets[target].update(|state| {
            state.reachable = true;
            state.fault = TargetFault::None;
        });
    }

    pub(super) async fn replace(&mut self, target: usize) -> io::Result<()> {
        self.targets[target].remove_from_log();
        let spec = self.targets[target].spec.clone();
        self.targets[target] = self.new_target(spec).await?;
        Ok(())
    }
}
