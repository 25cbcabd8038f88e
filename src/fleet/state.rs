//! One target: what it reported and what this host observed.

use std::time::{Duration, Instant};

use crate::fleet::{TargetEntry, TargetLoad, target_key};
use crate::ids::TargetKey;

/// How long a reported pace is valid. The target is queried again when a request on it
/// stalls.
const PACE_LIFETIME: Duration = Duration::from_secs(4);

/// A target, as reported and as observed.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// Its last heartbeat.
    pub entry: TargetEntry,
    /// Its key in messages.
    pub key: TargetKey,
    /// Load of this host's requests.
    pub own: TargetLoad,
    /// Load of the requests of the other hosts of this zone.
    pub near: TargetLoad,
    /// Load of the requests of the hosts of other zones.
    pub remote: TargetLoad,
    /// Consecutive failures.
    pub failures: u32,
    /// End of the ejection after failures.
    pub ejected_until: Option<Instant>,
    /// Consecutive refusals.
    pub refusals: u32,
    /// End of the pause after a refusal for lack of capacity.
    pub full_until: Option<Instant>,
    /// When the target last responded as it should.
    pub last_success: Option<Instant>,
    /// Time until which the target is avoided because another host found it ended.
    pub ended_until: Option<Instant>,
    /// End of the last of the pauses that the target has requested. Only time ends them.
    pub paused_until: Option<Instant>,
    /// Whether the target has stated in a response that it is leaving. It never returns
    /// under the same id, so nothing resets this.
    pub states_leaving: bool,
    /// Time before which there is no permit for the target, which limits its rate.
    pub withheld_until: Option<Instant>,
    /// Time until which the target counts as silent: it does not respond, or other
    /// engines wait for it.
    pub silent_until: Option<Instant>,
    /// The last reported pace and when it was reported; above 1 when the target is slow.
    pub pace: Option<(f64, Instant)>,
    /// When its pace was last requested.
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
            last_success: None,
            ended_until: None,
            paused_until: None,
            states_leaving: false,
            withheld_until: None,
            silent_until: None,
            pace: None,
            pace_requested: None,
        }
    }

    /// Ends the ejection of the target.
    pub(super) fn readmit(&mut self) {
        self.failures = 0;
        self.ejected_until = None;
        self.silent_until = None;
    }

    /// Returns the load of the requests of all hosts, as far as they are known.
    pub fn load(&self) -> TargetLoad {
        let mut load = self.own;
        load.add(self.near);
        load.add(self.remote);
        load
    }

    /// Returns whether the target may get work, apart from a pause.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.is_leaving() && !self.is_ejected(now)
    }

    /// Returns whether the target is leaving, by its heartbeat or by a response.
    pub fn is_leaving(&self) -> bool {
        self.entry.draining || self.states_leaving
    }

    /// Returns whether the target is assumed to be dead or cut off.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.silent_until.is_some_and(|until| now < until)
    }

    /// Returns the factor on the times that are usual for its kind.
    pub fn pace(&self, now: Instant) -> f64 {
        let recent = self.pace.filter(|(_, at)| now < *at + PACE_LIFETIME);
        recent.map_or(1.0, |(pace, _)| pace.max(1.0))
    }

    /// Returns whether the target has just refused a request for lack of capacity.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Returns whether another host has just found the target ended. It is used only if
    /// there is no other way, since it may have been out of that host's reach only.
    pub fn is_reported_ended(&self, now: Instant) -> bool {
        self.ended_until.is_some_and(|until| now < until)
    }

    /// Returns the time for which the target still wants no requests of this host. No
    /// request is sent to it in this time, whatever the alternatives.
    pub fn remaining_pause(&self, now: Instant) -> Duration {
        let until = self.paused_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Returns the time until there may be a permit to send to the target.
    pub fn permit_wait(&self, now: Instant) -> Duration {
        let until = self.withheld_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Returns whether the target is ejected because of failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}
