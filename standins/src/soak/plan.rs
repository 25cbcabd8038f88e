//! The faults of one run, drawn from its seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::engines::TargetFault;
use super::link::LinkFault;

/// Something that is made to misbehave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultAction {
    /// SIGKILL, and a new process after the time.
    Kill(usize),
    /// SIGTERM, and a new process once it has ended.
    Stop(usize),
    /// SIGTERM for one host after the other.
    RollingRestart,
    /// SIGSTOP, and SIGCONT after the time.
    Pause(usize),
    /// SIGHUP.
    Hangup(usize),
    /// The link of callers to a host.
    FrontLink(usize, LinkFault),
    /// The link of a host to the log service.
    LogLink(usize, LinkFault),
    /// The link under which a host is known as a seed.
    SeedLink(usize, LinkFault),
    /// The log service refuses connections.
    LogOffline,
    /// The log service answers 503.
    LogBusy,
    /// The log service is slow.
    LogSlow,
    /// The log service forgets its history.
    LogTruncation,
    /// The link to a target.
    TargetLink(usize, LinkFault),
    /// A target is down, and another starts after the time.
    TargetCrash(usize),
    /// A target says that it leaves; another starts at once.
    TargetLeaves(usize),
    /// A target spoils its answers.
    TargetMisbehaves(usize, TargetFault),
    /// A target limits its rate to so many requests a second.
    TargetLimits(usize, u32),
    /// A new version of the configuration.
    Publish,
}

/// A fault, when it begins and how long it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// Time from the start of the run.
    pub at: Duration,
    /// How long it lasts, where it has a length.
    pub duration: Duration,
    /// What happens.
    pub action: FaultAction,
}

/// Draws the faults of a run of `length`: they begin one to three a second on
/// average, last up to four seconds and so overlap; quiet spells between them
/// let the promises be judged that hold for sound hosts only.
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
