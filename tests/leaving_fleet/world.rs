//! Simulates two zones of two hosts each, and their targets, in steps.

use std::time::{Duration, Instant};

use jackdawwick::entry::LogTopic;
use jackdawwick::peer::FollowReply;
use jackdawwick::platform::log_calls::LogError;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::faults::{Fault, FaultKind};
use super::host::{SimHost, zone_name};
use super::log::MemoryLog;

pub(super) const ZONES: usize = 2;
pub(super) const HOSTS: usize = 4;
const TARGETS: usize = 8;
pub(super) const STEP_MS: u64 = 20;
pub(super) const HEARTBEAT_MS: u64 = 1200;
/// Silence after which an entry expires: three heartbeats and the delay of the last one.
const EXPIRY_MS: u64 = 3 * HEARTBEAT_MS + 100;
/// Time within which expired entries are back after the log returns.
pub(super) const RETURN_MS: u64 = 1900;
pub(super) const READ_PAUSE_MS: u64 = 600;
const FOLLOW_PAUSE_MS: u64 = 200;
const NEIGHBOUR_REPORT_MS: u64 = 200;
const REMOTE_REPORT_MS: u64 = 500;
/// Time without the log after which a following host reads it itself.
const MAX_WAIT_MS: u64 = 600;
/// Time for which a target that left may still be used.
pub(super) const DRAIN_MS: u64 = 2000;

/// A target and the time at which it leaves.
pub(super) struct SimTarget {
    pub(super) name: String,
    pub(super) zone: usize,
    phase_ms: u64,
    wrote_ms: u64,
    heartbeats: u64,
    /// Heartbeats that the log executes late, with the times at which it does.
    late: Vec<(u64, Vec<u8>)>,
    /// Time since which it can write. After an interruption it waits before it writes
    /// again.
    can_write_ms: Option<u64>,
    leaves_ms: u64,
    /// Time at which the log acknowledged that it left.
    pub(super) left_ms: Option<u64>,
}

/// State of the simulation.
pub(crate) struct World {
    start: Instant,
    pub(crate) now_ms: u64,
    pub(super) faults: Vec<Fault>,
    log: MemoryLog,
    pub(super) targets: Vec<SimTarget>,
    pub(super) hosts: Vec<SimHost>,
    starts: u64,
}

impl World {
    pub(crate) fn open(seed: u64, faults: Vec<Fault>) -> Self {
        let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
        let targets = (0..TARGETS).map(|index| SimTarget {
            name: format!("target-{index}"),
            zone: index % ZONES,
            phase_ms: random.random_range(0..HEARTBEAT_MS / STEP_MS) * STEP_MS,
            wrote_ms: 0,
            heartbeats: 0,
            late: Vec::new(),
            can_write_ms: Some(0),
            // Half of the targets leave, at times spread over the run.
            leaves_ms: match index < TARGETS / 2 {
                true => random.random_range(8_000..32_000),
                false => u64::MAX,
            },
            left_ms: None,
        });
        let targets = targets.collect();
        Self {
            // Ages in reports and replies reach back before the first step.
            start: Instant::now() + Duration::from_secs(3600),
            now_ms: 0,
            faults,
            log: MemoryLog::default(),
            targets,
            hosts: (0..HOSTS).map(|index| SimHost::open(index, 1)).collect(),
            starts: 1,
        }
    }

    /// Sets when the first of the targets that leave does so; the others follow 100 ms apart.
    pub(crate) fn set_leaving(&mut self, first_ms: u64) {
        let leaving = self.targets.iter_mut().take(TARGETS / 2);
        for (target, number) in leaving.zip(0..) {
            target.leaves_ms = first_ms + 100 * number;
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn is_on<F>(&self, wanted: F) -> bool
    where
        F: Fn(FaultKind) -> bool,
    {
        self.was_on_since(self.now_ms, wanted)
    }

    /// Returns whether a matching fault was active at any time since `since_ms`.
    pub(super) fn was_on_since<F>(&self, since_ms: u64, wanted: F) -> bool
    where
        F: Fn(FaultKind) -> bool,
    {
        let mut faults = self.faults.iter();
        faults.any(|fault| {
            wanted(fault.kind) && fault.from_ms <= self.now_ms && fault.until_ms > since_ms
        })
    }

    fn reaches_log(&self, host: usize) -> bool {
        let zone = self.hosts[host].zone;
        !self.is_on(|kind| match kind {
            FaultKind::LogDown | FaultKind::Restore(_) => true,
            FaultKind::ZoneCut(cut) => cut == zone,
            FaultKind::HostCut(cut) | FaultKind::LogRefused(cut) => cut == host,
            FaultKind::Trim | FaultKind::Restart(_) | FaultKind::LateWrites(_) => false,
        })
    }

    fn reach_each_other(&self, first: usize, second: usize) -> bool {
        let far = self.hosts[first].zone != self.hosts[second].zone;
        !self.is_on(|kind| match kind {
            FaultKind::ZoneCut(_) => far,
            FaultKind::HostCut(cut) => cut == first || cut == second,
            _ => false,
        })
    }

    /// Executes one step of the log, the targets and the hosts.
    pub(crate) fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.apply_instant_faults();
        self.apply_restores();
        self.step_targets();
        for host in 0..HOSTS {
            self.step_host(host);
        }
        self.exchange_log_ages();
    }

    fn apply_instant_faults(&mut self) {
        let due = self
            .faults
            .iter()
            .filter(|fault| fault.from_ms == self.now_ms / STEP_MS * STEP_MS);
        for fault in due.copied().collect::<Vec<_>>() {
            match fault.kind {
                FaultKind::Trim => self.log.trim(),
                FaultKind::Restart(host) => self.restart(host),
                _ => {}
            }
        }
    }

    /// Restores the log where a restore ends, and has the targets write again what the copy
    /// lacks.
    fn apply_restores(&mut self) {
        let now_ms = self.now_ms;
        let due = self.faults.iter().filter_map(|fault| match fault.kind {
            FaultKind::Restore(age_ms) if fault.until_ms == now_ms => {
                Some(fault.from_ms.saturating_sub(age_ms))
            }
            _ => None,
        });
        for copied_ms in due.collect::<Vec<_>>() {
            self.log.restore(copied_ms);
            for target in &mut self.targets {
                target.can_write_ms = None;
            }
        }
    }

    fn restart(&mut self, host: usize) {
        self.starts += 1;
        self.hosts[host] = SimHost::open(host, self.starts);
    }

    fn step_targets(&mut self) {
        for index in 0..TARGETS {
            let zone = self.targets[index].zone;
            let can_write = !self.is_on(|kind| match kind {
                FaultKind::LogDown | FaultKind::Restore(_) => true,
                FaultKind::ZoneCut(cut) => cut == zone,
                _ => false,
            });
            let delay_ms = self.write_delay_ms();
            let now_ms = self.now_ms;
            let target = &mut self.targets[index];
            target.can_write_ms = match can_write {
                true => target.can_write_ms.or(Some(now_ms)),
                false => None,
            };
            let due = target.late.extract_if(.., |(due_ms, _)| *due_ms <= now_ms);
            for (_, heartbeat) in due {
                target.wrote_ms = now_ms;
                self.log.append(&target.name, Some(heartbeat), now_ms);
            }
            let has_entry = self.log.has_entry(&target.name);
            if let Some(left_ms) = target.left_ms {
                // An older copy of the log may list the target again, which repeats that
                // it has left. The entry of one that cannot write expires, as any does, and
                // so does one that a late heartbeat has restored.
                let removed = match target.can_write_ms {
                    Some(back_ms) if target.wrote_ms <= left_ms => now_ms >= back_ms + RETURN_MS,
                    _ => now_ms >= target.wrote_ms + EXPIRY_MS,
                };
                if has_entry && removed {
                    self.log.append(&target.name, None, now_ms);
                }
                continue;
            }
            if can_write && now_ms >= target.leaves_ms {
                target.left_ms = Some(now_ms);
                if has_entry {
                    self.log.append(&target.name, None, now_ms);
                }
                continue;
            }
            if has_entry && now_ms >= target.wrote_ms + EXPIRY_MS {
                self.log.append(&target.name, None, now_ms);
            }
            let is_heartbeat_due = now_ms % HEARTBEAT_MS == target.phase_ms;
            let back_ms = target.can_write_ms.unwrap_or(now_ms);
            // Expired entries return after `RETURN_MS`, and others with their next
            // heartbeat.
            let waits = !has_entry && back_ms > 0 && now_ms < back_ms + RETURN_MS;
            let returns = !has_entry && now_ms == back_ms + RETURN_MS;
            if can_write && (returns || is_heartbeat_due && !waits) {
                target.heartbeats += 1;
                let heartbeat = heartbeat(index, target.zone, target.heartbeats);
                match delay_ms {
                    Some(delay_ms) => target.late.push((now_ms + delay_ms, heartbeat)),
                    None => {
                        target.wrote_ms = now_ms;
                        self.log.append(&target.name, Some(heartbeat), now_ms);
                    }
                }
            }
        }
    }

    /// Returns how late the log executes a heartbeat that is written now.
    fn write_delay_ms(&self) -> Option<u64> {
        let mut faults = self.faults.iter();
        faults.find_map(|fault| match fault.kind {
            FaultKind::LateWrites(delay_ms)
                if (fault.from_ms..fault.until_ms).contains(&self.now_ms) =>
            {
                Some(delay_ms)
            }
            _ => None,
        })
    }

    fn step_host(&mut self, host: usize) {
        let leader = host % ZONES;
        let now_ms = self.now_ms;
        if now_ms >= self.hosts[host].next_ask_ms {
            self.hosts[host].next_ask_ms = now_ms + FOLLOW_PAUSE_MS;
            match host == leader {
                true => self.follow_neighbour(host, host + ZONES),
                false => self.follow(host, leader),
            }
        }
        let next = self.hosts[host].copy.next_due();
        let due = next.is_some_and(|due| self.now() >= due) && self.hosts[host].is_fresh(now_ms);
        let reads = !self.hosts[host].follows;
        if reads && (now_ms >= self.hosts[host].next_read_ms || due) {
            self.hosts[host].next_read_ms = now_ms + READ_PAUSE_MS;
            self.read(host);
        }
    }

    fn read(&mut self, host: usize) {
        let now = self.now();
        let reached = self.reaches_log(host);
        let next = self.hosts[host].follower.next();
        let read = match reached {
            true => self.log.read(next),
            false => Err(LogError::NoResponse("cut".to_owned())),
        };
        let read = read.and_then(|read| self.hosts[host].copy.check_era(read, LogTopic::Targets));
        if matches!(read, Err(LogError::Deleted | LogError::Restored(_))) {
            self.hosts[host].next_read_ms = self.now_ms;
        }
        if read.is_ok() {
            self.hosts[host].read_ms = Some(self.now_ms);
        }
        self.hosts[host].follower.apply_read(read, now);
    }

    /// A following host requests updates from the leader of its zone.
    fn follow(&mut self, host: usize, leader: usize) {
        let reply = self.fetch(host, leader).filter(|reply| reply.fresh);
        let now_ms = self.now_ms;
        let age = reply.as_ref().map(|reply| reply.age);
        let is_current = reply.is_some_and(|reply| self.apply_reply(host, leader, reply));
        match age.filter(|_| is_current) {
            Some(_) if !self.hosts[host].follows && self.hosts[host].copy.needs_own_reads() => {
                self.hosts[host].has_passed_replies = true;
            }
            Some(age) => {
                let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
                let state = &mut self.hosts[host];
                state.read_ms = state.read_ms.max(now_ms.checked_sub(age));
                state.follows = true;
                state.follower.reset_position();
                if std::mem::take(&mut state.has_passed_replies) {
                    state.relayed.reset_positions();
                }
            }
            None => {
                let state = &mut self.hosts[host];
                let lost = state.read_ms.is_none_or(|read| now_ms > read + MAX_WAIT_MS);
                if state.follows && lost {
                    state.relayed.reset_positions();
                }
                state.follows = state.follows && !lost;
            }
        }
    }

    /// The leader of a zone requests updates from its neighbour while it cannot read.
    fn follow_neighbour(&mut self, host: usize, neighbour: usize) {
        if self.hosts[host].is_fresh(self.now_ms) {
            return;
        }
        let reply = self.fetch(host, neighbour);
        if let Some(reply) = reply.filter(|reply| reply.fresh) {
            self.apply_reply(host, neighbour, reply);
        }
    }

    fn fetch(&self, host: usize, other: usize) -> Option<FollowReply> {
        if !self.reach_each_other(host, other) {
            return None;
        }
        let name = &self.hosts[other].name;
        let now = self.now();
        let request = self.hosts[host].relayed.request(name, Duration::ZERO, now);
        Some(self.hosts[other].reply(request, self.now_ms, now))
    }

    fn apply_reply(&mut self, host: usize, other: usize, reply: FollowReply) -> bool {
        let now = self.now();
        let name = self.hosts[other].name.clone();
        self.hosts[host].relayed.apply(&name, reply, now)
    }

    fn exchange_log_ages(&mut self) {
        for first in 0..HOSTS {
            for second in 0..HOSTS {
                let near = first % ZONES == second % ZONES;
                let pause = if near {
                    NEIGHBOUR_REPORT_MS
                } else {
                    REMOTE_REPORT_MS
                };
                // Only the leaders of different zones exchange reports.
                let exchanges = near || (first < ZONES && second < ZONES);
                let due = self.now_ms.is_multiple_of(pause) && first != second && exchanges;
                if due && self.reach_each_other(first, second) {
                    self.send_log_ages(first, second);
                }
            }
        }
    }

    fn send_log_ages(&self, host: usize, receiver: usize) {
        let now = self.now();
        let zone = zone_name(self.hosts[host].zone).into();
        if let Some(ages) = self.hosts[host].copy.log_ages(now) {
            self.hosts[receiver].copy.observe_ages(&zone, ages, now);
        }
    }
}

fn heartbeat(index: usize, zone: usize, number: u64) -> Vec<u8> {
    let body = serde_json::json!({
        "service": "s", "address": format!("10.0.0.1:{}", 8000 + index),
        "zone": zone_name(zone), "state": "ready", "version": "v", "slots": 4,
        "cold_remaining_ms": 0, "sequence": number
    });
    body.to_string().into_bytes()
}
