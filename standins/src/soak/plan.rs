//! Faults of one run, drawn from its seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::engines::TargetFault;
use super::host_link::LinkLoss;
use super::link::LinkFault;

/// Something that is disturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultAction {
    /// Kills a host by SIGKILL and restarts it after the duration.
    Kill(usize),
    /// Stops a host by SIGTERM and restarts it once it has exited.
    Stop(usize),
    /// Stops and restarts one host after the other.
    RollingRestart,
    /// Pauses a host by SIGSTOP and continues it by SIGCONT after the duration.
    Pause(usize),
    /// Sends SIGHUP to a host.
    Hangup(usize),
    /// Fault on the link of callers to a host.
    FrontLink(usize, LinkFault),
    /// Fault on the link of a host to the log service.
    LogLink(usize, LinkFault),
    /// Fault on the link under which a host is known as a seed.
    SeedLink(usize, LinkFault),
    /// The log service refuses connections.
    LogOffline,
    /// The log service responds with 503.
    LogBusy,
    /// The log service is slow.
    LogSlow,
    /// The log service drops its history.
    LogTruncation,
    /// Fault on the link to a target.
    TargetLink(usize, LinkFault),
    /// A target crashes, and another one starts after the duration.
    TargetCrash(usize),
    /// A target announces that it leaves; another one starts at once.
    TargetLeaves(usize),
    /// A target returns faulty responses.
    TargetMisbehaves(usize, TargetFault),
    /// A target refuses every request and requests a pause with each refusal.
    TargetPauses(usize, Duration),
    /// A target states in its responses that it is leaving, while its heartbeats do not;
    /// another one starts at once.
    TargetStatesLeaving(usize),
    /// A target limits its rate, in requests per second.
    TargetLimits(usize, u32),
    /// A target stands still and goes on after the duration.
    TargetStandsStill(usize),
    /// A host loses its links to all targets; it has links of its own.
    HostLinks(usize, LinkLoss),
    /// The log service responds with 503 and then goes back to a copy that is this old.
    LogRestore(Duration),
    /// The log service takes a target's heartbeats after this delay; the target leaves when
    /// the fault ends.
    LateHeartbeats(usize, Duration),
    /// Publishes a new version of the configuration.
    Publish,
}

/// A fault, when it begins and how long it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// Time from the start of the run.
    pub at: Duration,
    /// How long the fault lasts, if it has a duration.
    pub duration: Duration,
    /// What is disturbed.
    pub action: FaultAction,
}

/// The kind of faults to which a run is restricted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SoakTrouble {
    /// No faults.
    None,
    /// Targets stand still.
    Standstills,
    /// Hosts are killed.
    Kills,
    /// Hosts are stopped and restarted, alone or in turn.
    Stops,
    /// Host processes are suspended.
    Pauses,
    /// Hosts lose their links to targets.
    HostLinks,
    /// Links to targets drop, delay or hold bytes, also in one direction, and targets crash.
    TargetLinks,
    /// All faults.
    All,
}

impl SoakTrouble {
    /// Returns the trouble of a seed: eight consecutive seeds have each one once.
    pub(super) fn of_seed(seed: u64) -> Self {
        match seed % 8 {
            0 => Self::None,
            1 => Self::Standstills,
            2 => Self::Kills,
            3 => Self::Stops,
            4 => Self::Pauses,
            5 => Self::HostLinks,
            6 => Self::TargetLinks,
            _ => Self::All,
        }
    }

    /// Returns whether a fault belongs to the trouble.
    pub(super) fn includes(self, action: FaultAction) -> bool {
        match action {
            FaultAction::TargetStandsStill(_) => matches!(self, Self::Standstills | Self::All),
            FaultAction::Kill(_) => matches!(self, Self::Kills | Self::All),
            FaultAction::Stop(_) | FaultAction::RollingRestart => {
                matches!(self, Self::Stops | Self::All)
            }
            FaultAction::Pause(_) => matches!(self, Self::Pauses | Self::All),
            FaultAction::HostLinks(..) => matches!(self, Self::HostLinks | Self::All),
            FaultAction::TargetLink(..) | FaultAction::TargetCrash(_) => {
                matches!(self, Self::TargetLinks | Self::All)
            }
            _ => self == Self::All,
        }
    }
}

/// Draws the faults of a run of `length`: on average one to three begin per second, and
/// each lasts up to four seconds, so that they overlap. Quiet periods between them allow
/// the check of the guarantees that hold only for undisturbed hosts.
pub fn draw_faults(seed: u64, length: Duration, hosts: usize, targets: usize) -> Vec<PlannedFault> {
    const SHORTEST: f64 = 0.2;
    const LONGEST: f64 = 4.0;
    let mut random = StdRng::seed_from_u64(seed);
    let pause = 1.0 / random.random_range(1.0..3.0);
    let mut faults = Vec::new();
    let mut at = 0.0;
    while at < length.as_secs_f64() {
        faults.push(PlannedFault {
            at: Duration::from_secs_f64(at),
            duration: Duration::from_secs_f64(random.random_range(SHORTEST..LONGEST)),
            action: draw_action(&mut random, hosts, targets),
        });
        let quiet = if random.random_bool(0.06) { 5.0 } else { 0.0 };
        at += quiet + pause * random.random_range(0.1..2.0);
    }
    faults
}

fn draw_action(random: &mut StdRng, hosts: usize, targets: usize) -> FaultAction {
    let host = random.random_range(0..hosts);
    let target = random.random_range(0..targets);
    let link = draw_link_fault(random);
    match random.random_range(0..26) {
        0 | 1 => FaultAction::Kill(host),
        2 | 3 => FaultAction::Stop(host),
        4 => FaultAction::RollingRestart,
        5 => FaultAction::Pause(host),
        6 => FaultAction::Hangup(host),
        7 | 8 => FaultAction::FrontLink(host, link),
        9 | 10 => FaultAction::LogLink(host, link),
        11 => FaultAction::SeedLink(host, link),
        12 => FaultAction::LogOffline,
        13 => FaultAction::LogBusy,
        14 => FaultAction::LogSlow,
        15 => FaultAction::LogTruncation,
        16 | 17 => FaultAction::TargetLink(target, link),
        18 => FaultAction::TargetCrash(target),
        19 => FaultAction::TargetLeaves(target),
        20 | 21 => FaultAction::TargetMisbehaves(target, draw_target_fault(random)),
        24 | 25 => FaultAction::TargetLimits(target, random.random_range(40..80)),
        _ => FaultAction::Publish,
    }
}

fn draw_link_fault(random: &mut StdRng) -> LinkFault {
    match random.random_range(0..5) {
        0 => LinkFault::Delay(Duration::from_millis(random.random_range(5..400))),
        1 => LinkFault::Reset,
        2 => LinkFault::Blackhole,
        3 => LinkFault::BlockToServer,
        _ => LinkFault::BlockToClient,
    }
}

fn draw_target_fault(random: &mut StdRng) -> TargetFault {
    match random.random_range(0..5) {
        0 => TargetFault::DropsResponse,
        1 => TargetFault::WrongRequestId,
        2 => TargetFault::TruncatesBody,
        3 => TargetFault::Refuses,
        _ => TargetFault::Fails,
    }
}

/// Draws what targets state in their responses in a run of `length`: pauses, and that they
/// are leaving. The seed draws the same other faults as without them.
pub fn draw_statements(seed: u64, length: Duration, targets: usize) -> Vec<PlannedFault> {
    const STREAM: u64 = 0x7061_7573;
    let mut random = StdRng::seed_from_u64(seed ^ STREAM);
    let mut statements = Vec::new();
    let mut at = random.random_range(0.0..3.0);
    while at < length.as_secs_f64() {
        let target = random.random_range(0..targets);
        let pause = Duration::from_secs_f64(random.random_range(0.3..4.0));
        let action = match random.random_bool(0.7) {
            true => FaultAction::TargetPauses(target, pause),
            false => FaultAction::TargetStatesLeaving(target),
        };
        statements.push(PlannedFault {
            at: Duration::from_secs_f64(at),
            duration: Duration::from_secs_f64(random.random_range(0.5..6.0)),
            action,
        });
        at += random.random_range(1.0..5.0);
    }
    statements
}

/// Draws standstills of targets in a run of `length`: of one target, of one in series or of
/// nearly all at once. Beside them the configuration changes in series, and in half of the
/// runs most targets fail requests, so that hosts use up their retries.
pub fn draw_standstills(seed: u64, length: Duration, targets: usize) -> Vec<PlannedFault> {
    const STREAM: u64 = 0x7374_696c;
    const SHORTEST: f64 = 0.3;
    const LONGEST: f64 = 2.0;
    let mut random = StdRng::seed_from_u64(seed ^ STREAM);
    let mut faults = Vec::new();
    let mut add = |at: f64, duration: f64, action: FaultAction| {
        faults.push(PlannedFault {
            at: Duration::from_secs_f64(at),
            duration: Duration::from_secs_f64(duration),
            action,
        });
    };
    let end = length.as_secs_f64();
    let failing = if random.random_bool(0.5) { 0.7 } else { 0.0 };
    for target in 0..targets {
        let fails = FaultAction::TargetMisbehaves(target, TargetFault::Fails);
        if random.random_bool(failing) {
            add(0.5, end * 0.7, fails);
        }
    }
    let mut at = random.random_range(0.5..2.0);
    while at < end {
        let target = random.random_range(0..targets);
        match random.random_range(0..3) {
            0 => add(
                at,
                random.random_range(SHORTEST..LONGEST),
                FaultAction::TargetStandsStill(target),
            ),
            1 => {
                for _ in 0..3 {
                    let duration = random.random_range(SHORTEST..LONGEST);
                    add(at, duration, FaultAction::TargetStandsStill(target));
                    at += duration + random.random_range(0.05..0.5);
                }
            }
            _ => {
                let duration = random.random_range(SHORTEST..LONGEST);
                for target in (0..targets).filter(|_| random.random_bool(0.85)) {
                    add(at, duration, FaultAction::TargetStandsStill(target));
                }
            }
        }
        for change in 0..3 {
            add(at + 0.4 * f64::from(change), 0.0, FaultAction::Publish);
        }
        at += random.random_range(0.8..3.0);
    }
    faults
}

/// Draws restores of the log in a run of `length`, two or three, and heartbeats of targets
/// that the log takes late.
pub(super) fn draw_log_losses(seed: u64, length: Duration, targets: usize) -> Vec<PlannedFault> {
    const STREAM: u64 = 0x7265_7374;
    let mut random = StdRng::seed_from_u64(seed ^ STREAM);
    let mut faults = Vec::new();
    let end = length.as_secs_f64();
    let restores = random.random_range(2..4);
    for _ in 0..restores {
        let age = Duration::from_secs_f64(random.random_range(0.5..8.0));
        faults.push(PlannedFault {
            at: Duration::from_secs_f64(random.random_range(0.1..0.9) * end),
            duration: Duration::from_secs_f64(random.random_range(0.05..1.5)),
            action: FaultAction::LogRestore(age),
        });
    }
    let mut at = random.random_range(0.5..3.0);
    while at < end {
        let delay = Duration::from_secs_f64(random.random_range(1.0..6.0));
        let target = random.random_range(0..targets);
        faults.push(PlannedFault {
            at: Duration::from_secs_f64(at),
            duration: Duration::from_secs_f64(random.random_range(0.3..2.0)),
            action: FaultAction::LateHeartbeats(target, delay),
        });
        at += random.random_range(3.0..8.0);
    }
    faults
}

/// Draws losses of the links between hosts and targets in a run of `length`, of some, most
/// or all hosts at a time.
pub(super) fn draw_link_losses(seed: u64, length: Duration, hosts: usize) -> Vec<PlannedFault> {
    const STREAM: u64 = 0x6c69_6e6b;
    let mut random = StdRng::seed_from_u64(seed ^ STREAM);
    let mut losses = Vec::new();
    let mut at = random.random_range(0.0..2.0);
    while at < length.as_secs_f64() {
        let duration = Duration::from_secs_f64(random.random_range(0.5..5.0));
        let loss = match random.random_range(0..3) {
            0 => LinkLoss::Silent,
            1 => LinkLoss::Reset,
            _ => LinkLoss::NewRefused,
        };
        let share = random.random_range(0.2..1.0);
        for host in (0..hosts).filter(|_| random.random_bool(share)) {
            losses.push(PlannedFault {
                at: Duration::from_secs_f64(at),
                duration,
                action: FaultAction::HostLinks(host, loss),
            });
        }
        at += random.random_range(2.0..6.0);
    }
    losses
}
