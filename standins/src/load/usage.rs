//! Processor time, memory and control traffic of the daemons.

use std::collections::BTreeMap;
use std::fs;
use std::time::Instant;

use http::Method;

use crate::fleet::Fleet;
use crate::operator;

/// Clock ticks per second in `/proc`, as Linux fixes them for user space.
const TICKS_PER_SECOND: f64 = 100.0;
/// Maximum length of a thread name in the kernel.
const THREAD_NAME_LENGTH: usize = 15;
/// Name of the threads that serve and call peers.
const PEER_THREAD: &str = "peers";

/// Counters at one moment.
#[derive(Debug)]
pub(super) struct UsageSample {
    at: Instant,
    /// Processor seconds by thread name.
    threads: BTreeMap<String, f64>,
    /// Sums of the counters of all running daemons.
    pub(super) counters: BTreeMap<String, f64>,
}

/// Resources used between two samples.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UsageDelta {
    /// Cores that the threads of all daemons used, without peer threads.
    pub(super) daemon_cores: f64,
    /// Cores that all peer threads used.
    pub(super) peer_cores: f64,
    /// Cores that the whole process used.
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

    /// Returns the processor time used since `earlier`.
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

    /// Returns the increase of a counter since `earlier`.
    pub(super) fn growth(&self, earlier: &Self, name: &str) -> f64 {
        let at = |sample: &Self| sample.counters.get(name).copied().unwrap_or_default();
        (at(self) - at(earlier)).max(0.0)
    }
}

/// Adds the values of the lines `NAME{LABELS} VALUE` of the metrics of one daemon.
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

/// Returns the user and system time in a line of `/proc/.../stat`, in seconds.
fn processor_seconds(stat: &str) -> f64 {
    // The name in parentheses can contain spaces; the fields after it cannot.
    let Some((_, fields)) = stat.rsplit_once(')') else {
        return 0.0;
    };
    let times = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = times.filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SECOND
}

/// Returns the resident memory of the process, in megabytes.
pub(super) fn resident_megabytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kilobytes.unwrap_or_default() / 1024.0
}
