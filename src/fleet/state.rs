//! One target: what it said, and what this host saw.

use std::time::{Duration, Instant};

use crate::fleet::{TargetEntry, TargetLoad, target_key};
use crate::ids::TargetKey;

/// How long what a target said of its speed counts. It is asked again when a
/// request that passes it falls silent.
const PACE_LIFETIME: Duration = Duration::from_secs(4);

/// A target, as heard of and as seen.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// What it last said.
    pub entry: TargetEntry,
    /// Its key in messages.
    pub key: TargetKey,
    /// Requests of this host on it.
    pub own: TargetLoad,
    /// Requests of the other hosts of this zone on it.
    pub near: TargetLoad,
    /// Requests of the hosts of other zones on it.
    pub remote: TargetLoad,
    /// Failures in a row.
    pub failures: u32,
    /// Takes nothing before this moment.
    pub ejected_until: Option<Instant>,
    /// Refusals in a row.
    pub refusals: u32,
    /// Refused for want of room; takes nothing before this moment.
    pub full_until: Option<Instant>,
    /// Limits its rate; there is no permit for it before this moment.
    pub withheld_until: Option<Instant>,
    /// Does not answer, or other engines wait for it, until this moment.
    pub silent_until: Option<Instant>,
    /// What it last said of its speed, and when; over 1 when it is slow.
    pub pace: Option<(f64, Instant)>,
    /// When it was last asked for its speed.
    pub pace_requested: Option<Instant>,
}

impl TargetState {
    pub(super) fn new(entry: TargetEntry) -> Self {
        Self {
            key: target_key(&entry.id),
            entry,
            own: TargetLoad::default(),
            near: TargetLoad::default(),
            remote: TargetLoad::default(),
            failures: 0,
            ejected_until: None,
            refusals: 0,
            full_until: None,
            withheld_until: None,
            silent_until: None,
            pace: None,
            pace_requested: None,
        }
    }

    /// Requests of all hosts on it, as far as they are known.
    pub fn load(&self) -> TargetLoad {
        let mut load = self.own;
        load.add(self.near);
        load.add(self.remote);
        load
    }

    /// Whether the target may be given work.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.entry.draining && !self.is_ejected(now)
    }

    /// Whether the target is taken to be dead or cut off.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.silent_until.is_some_and(|until| now < until)
    }

    /// Factor on the times that are usual for its kind.
    pub fn pace(&self, now: Instant) -> f64 {
        let recent = self.pace.filter(|(_, at)| now < *at + PACE_LIFETIME);
        recent.map_or(1.0, |(pace, _)| pace.max(1.0))
    }

    /// Whether the target has just refused for want of room.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Time until there may be a permit to send to it.
    pub fn permit_wait(&self, now: Instant) -> Duration {
        let until = self.withheld_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Whether the target was put out because of failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}
