//! Processor time and memory of this process.

use std::collections::BTreeMap;
use std::fs;
use std::time::Instant;

/// Name of the threads that serve and call peers.
const PEER_THREAD: &str = "peers";
const NANOSECONDS: f64 = 1e9;

/// Processor time of each thread at one moment.
#[derive(Debug)]
pub(super) struct ThreadSample {
    at: Instant,
    /// Name and processor seconds by thread id.
    threads: BTreeMap<String, (String, f64)>,
}

impl ThreadSample {
    pub(super) fn take() -> Self {
        let tasks = fs::read_dir("/proc/self/task").into_iter().flatten();
        let threads = tasks.flatten().map(|task| {
            let read = |name: &str| fs::read_to_string(task.path().join(name)).unwrap_or_default();
            let first = read("schedstat");
            let nanoseconds = first.split(' ').next().and_then(|word| word.parse().ok());
            let seconds = nanoseconds.unwrap_or(0.0) / NANOSECONDS;
            let id = task.file_name().to_string_lossy().into_owned();
            (id, (read("comm").trim().to_owned(), seconds))
        });
        Self {
            at: Instant::now(),
            threads: threads.collect(),
        }
    }

    /// Returns the seconds from `earlier` to this sample.
    pub(super) fn seconds_since(&self, earlier: &Self) -> f64 {
        (self.at - earlier.at).as_secs_f64()
    }

    /// Returns the processor seconds of the threads of this name since `earlier`.
    pub(super) fn used_since(&self, earlier: &Self, name: &str) -> f64 {
        let own = self.threads.iter().filter(|(_, thread)| thread.0 == name);
        let used = own.map(|(id, thread)| {
            let before = earlier.threads.get(id).map_or(0.0, |thread| thread.1);
            thread.1 - before
        });
        used.sum()
    }

    /// Returns the processor seconds of all peer threads since `earlier`.
    pub(super) fn peers_since(&self, earlier: &Self) -> f64 {
        self.used_since(earlier, PEER_THREAD)
    }
}

/// Returns the resident memory of this process, in megabytes.
pub(super) fn resident_megabytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kilobytes.unwrap_or_default() / 1024.0
}
