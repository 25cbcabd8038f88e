//! Faults of a run.

use rand::RngExt;
use rand::rngs::StdRng;

use super::world::{HOSTS, STEP_MS, ZONES};

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// A zone reaches neither the log nor the other zone, and its targets cannot write.
    ZoneCut(usize),
    /// A host reaches neither the log nor other hosts.
    HostCut(usize),
    /// The log refuses calls of one host.
    LogRefused(usize),
    /// No host can read the log, and no target can write to it.
    LogDown,
    /// The log drops its history.
    Trim,
    /// A host restarts without any state.
    Restart(usize),
    /// At its end, the log is restored from a copy that is this old, in milliseconds; it is
    /// down until then.
    Restore(u64),
    /// The log executes heartbeats this late, in milliseconds.
    LateWrites(u64),
}

/// A fault with its start and end.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fault {
    pub(crate) kind: FaultKind,
    pub(crate) from_ms: u64,
    pub(crate) until_ms: u64,
}

/// Draws up to five faults, which may overlap.
pub(crate) fn draw_faults(random: &mut StdRng) -> Vec<Fault> {
    let count = random.random_range(1..6);
    let mut faults = Vec::new();
    for _ in 0..count {
        let from_ms = random.random_range(6_000..24_000);
        let host = random.random_range(0..HOSTS);
        let kind = match random.random_range(0..6) {
            0 => FaultKind::ZoneCut(host % ZONES),
            1 => FaultKind::HostCut(host),
            2 => FaultKind::LogRefused(host),
            3 => FaultKind::LogDown,
            4 => FaultKind::Trim,
            _ => FaultKind::Restart(host),
        };
        let length_ms = match kind {
            FaultKind::Trim | FaultKind::Restart(_) => STEP_MS,
            _ => random.random_range(300..8000),
        };
        faults.push(Fault {
            kind,
            from_ms,
            until_ms: from_ms + length_ms,
        });
    }
    faults
}

/// Draws one to three restores of the log, from copies of up to ten seconds.
pub(crate) fn draw_restores(random: &mut StdRng) -> Vec<Fault> {
    let count = random.random_range(1..4);
    let restores = (0..count).map(|_| {
        let from_ms = random.random_range(10_000..24_000) / STEP_MS * STEP_MS;
        let length_ms = random.random_range(1..150) * STEP_MS;
        Fault {
            kind: FaultKind::Restore(random.random_range(500..10_000)),
            from_ms,
            until_ms: from_ms + length_ms,
        }
    });
    restores.collect()
}
