//! Processor time, memory and control bytes of the daemons.

use std::collections::BTreeMap;
use std::fs;
use std::time::Instant;

use http::Method;

use crate::fleet::Fleet;
use crate::operator;

/// Clock ticks a second in `/proc`, as Linux fixes them for user space.
const TICKS_PER_SECOND: f64 = 100.0;
/// Longest name of a thread that the kernel keeps.
const THREAD_NAME_LENGTH: usize = 15;
/// Name of the threads that serve and call peers.
const PEER_THREAD: &str = "peers";

/// Counters at one moment.
#[derive(Debug)]
pub(super) struct UsageSample {
    at: Instant,
    /// Seconds of processor time by name of thread.
    threads: BTreeMap<String, f64>,
    /// Each running daemon's counters, summed up.
    pub(super) counters: BTreeMap<String, f64>,
}

/// What was used between two samples.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UsageDelta {
    /// Cores kept busy by the threads of all daemons but those for peers.
    pub(super) daemon_cores: f64,
    /// Cores kept busy by all threads for peers.
    pub(super) peer_cores: f64,
    /// Cores kept busy by the whole process.
    pub(super) process_cores: f64,
    /// Seconds between the samples.
    pub(super) seconds: f64,
}

impl UsageSample {
    /// Reads all counters now.
    pub(super) async fn take(fleet: &Fleet) -> Self {
        let mut counters = BTreeMap::new();
        for daemon in fleet.running() {
            let reply = operator::operate(daemon.operators, Method::GET, "/metrics", Vec::new());
            if let Ok(reply) = reply.await {
                add_counters(&mut counters, &String::from_utf8_lossy(&reply.body));
            }
        }
        Self {
            at: Instant::now(),
            threads: thread_times(),
            counters,
        }
    }

    /// Processor time used since `earlier`.
    pub(super) fn since(&self, earlier: &Self, fleet: &Fleet) -> UsageDelta {
        let seconds = (self.at - earlier.at).as_secs_f64();
        let used = |name: &str| {
            let before = earlier.threads.get(name).copied().unwrap_or_default();
            let now = self.threads.get(name).copied().unwrap_or_default();
            (now - before).max(0.0) / seconds
        };
        let hosts = fleet.daemons.iter().map(|daemon| {
            let kept = daemon.host.len().min(THREAD_NAME_LENGTH);
            used(&daemon.host[..kept])
        });
        UsageDelta {
            daemon_cores: hosts.sum(),
            peer_cores: used(PEER_THREAD),
            process_cores: self.threads.keys().map(|name| used(name)).sum(),
            seconds,
        }
    }

    /// How much a counter grew since `earlier`.
    pub(super) fn growth(&self, earlier: &Self, name: &str) -> f64 {
        let at = |sample: &Self| sample.counters.get(name).copied().unwrap_or_default();
        (at(self) - at(earlier)).max(0.0)
    }
}

/// Adds up the lines `NAME{LABELS} VALUE` of one daemon's metrics.
fn add_counters(counters: &mut BTreeMap<String, f64>, text: &str) {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    for line in lines {
        if let Some((name, value)) = line.rsplit_once(' ') {
            let value: f64 = value.parse().unwrap_or_default();
            *counters.entry(name.to_owned()).or_default() += value;
        }
    }
}

fn thread_times() -> BTreeMap<String, f64> {
    let mut times = BTreeMap::new();
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return times;
    };
    for task in tasks.flatten() {
        let read = |name: &str| fs::read_to_string(task.path().join(name)).unwrap_or_default();
        let name = read("comm").trim().to_owned();
        *times.entry(name).or_default() += processor_seconds(&read("stat"));
    }
    times
}

/// User and system time of a line of `/proc/.../stat`.
fn processor_seconds(stat: &str) -> f64 {
    // The name in parentheses may hold spaces; the fields after it do not.
    let Some((_, fields)) = stat.rsplit_once(')') else {
        return 0.0;
    };
    let times = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = times.filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SECOND
}

/// Memory of the whole process, in megabytes.
pub(super) fn resident_megabytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kilobytes.unwrap_or_default() / 1024.0
}
