//! The reconciler's table: desired, observed, and what was ordered last.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{DesiredState, OrderingLease, ReconcileDecision, WithheldReason};
use crate::ids::TargetId;
use crate::resources::FencingSupport;
use crate::target::wire::{LoadedRange, StateOrder, TargetState};

/// Bounds on what the reconciler does at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReconcileLimits {
    /// Targets that may fetch weights at the same time.
    pub concurrent_loads: usize,
    /// Time within which a target begins an order or drops it.
    pub order_deadline: Duration,
    /// How old an observation may become before the target is asked again.
    pub observe_every: Duration,
    /// Pause after a failed order.
    pub failure_pause: Duration,
}

impl Default for ReconcileLimits {
    fn default() -> Self {
        Self {
            concurrent_loads: 2,
            order_deadline: Duration::from_secs(1),
            observe_every: Duration::from_secs(1),
            failure_pause: Duration::from_secs(2),
        }
    }
}

/// Last known state of one target.
#[derive(Debug, Clone)]
struct Observation {
    state: TargetState,
    seen_at: Instant,
}

/// Desired and observed states of one availability zone's engines.
#[derive(Debug, Default)]
pub struct ReconcileTable {
    limits: ReconcileLimits,
    desired: BTreeMap<TargetId, DesiredState>,
    observed: BTreeMap<TargetId, Observation>,
    failed_at: BTreeMap<TargetId, Instant>,
}

// Commands.
impl ReconcileTable {
    /// An empty table.
    pub fn new(limits: ReconcileLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Replaces the desired states; targets no longer named are forgotten.
    pub fn set_desired(&mut self, desired: BTreeMap<TargetId, DesiredState>) {
        self.observed
            .retain(|target, _| desired.contains_key(target));
        self.failed_at
            .retain(|target, _| desired.contains_key(target));
        self.desired = desired;
    }

    /// Takes in a state read from a target at `now`.
    pub fn observe(&mut self, target: &TargetId, state: TargetState, now: Instant) {
        if !self.desired.contains_key(target) {
            return;
        }
        let observation = Observation {
            state,
            seen_at: now,
        };
        self.observed.insert(target.clone(), observation);
    }

    /// Notes that the target could not be asked or ordered at `now`.
    pub fn note_failure(&mut self, target: &TargetId, now: Instant) {
        self.failed_at.insert(target.clone(), now);
    }
}

// Queries.
impl ReconcileTable {
    /// Targets that differ from what is declared, as last observed.
    pub fn differing(&self) -> Vec<TargetId> {
        self.desired
            .iter()
            .filter(|(target, desired)| match self.observed.get(*target) {
                Some(observation) => !matches(desired, &observation.state),
                None => true,
            })
            .map(|(target, _)| target.clone())
            .collect()
    }

    /// Decides for every target of the zone.
    ///
    /// Without a lease nothing is ordered, but targets are still observed.
    pub fn decide(&self, lease: Option<OrderingLease>, now: Instant) -> Vec<ReconcileDecision> {
        let mut loads_left = self
            .limits
            .concurrent_loads
            .saturating_sub(self.loads_under_way());
        // Ranges that an order of this same round takes away: two targets
        // ordered together must not each count on the other as the holder left.
        let mut given_up: BTreeMap<LoadedRange, usize> = BTreeMap::new();
        let mut decisions = Vec::new();
        for (target, desired) in &self.desired {
            match self.observed.get(target) {
                _ if self.is_backing_off(target, now) => {}
                Some(seen) if self.is_fresh(seen, lease, now) => {
                    let Some(lease) = lease.filter(|_| !matches(desired, &seen.state)) else {
                        continue;
                    };
                    if let Some(reason) = self.hold_back(desired, lease, now) {
                        decisions.push(withhold(target, reason));
                        continue;
                    }
                    self.decide_order(
                        target,
                        desired,
                        &seen.state,
                        lease,
                        &mut loads_left,
                        &mut given_up,
                        &mut decisions,
                    );
                }
                _ => decisions.push(ReconcileDecision::Observe {
                    target: target.clone(),
                }),
            }
        }
        decisions
    }

    fn loads_under_way(&self) -> usize {
        self.observed
            .values()
            .filter(|seen| !seen.state.loading.is_empty())
            .count()
    }

    fn is_backing_off(&self, target: &TargetId, now: Instant) -> bool {
        self.failed_at.get(target).is_some_and(|failed| {
            now.saturating_duration_since(*failed) < self.limits.failure_pause
        })
    }

    /// Whether an observation may be acted on.
    ///
    /// A new holder that trusted what it saw before its lease would undo what
    /// the earlier holder ordered meanwhile; one would notice a range loaded
    /// and unloaded in turns. So it observes again after the lease began.
    fn is_fresh(&self, seen: &Observation, lease: Option<OrderingLease>, now: Instant) -> bool {
        let is_recent = now.saturating_duration_since(seen.seen_at) < self.limits.observe_every;
        let is_own = lease.is_none_or(|lease| seen.seen_at >= lease.held_since);
        is_recent && is_own
    }

    /// Why no order at all may be given to this target now.
    fn hold_back(
        &self,
        desired: &DesiredState,
        lease: OrderingLease,
        now: Instant,
    ) -> Option<WithheldReason> {
        // A holder that was paused wakes up with a lease that has lapsed; its
        // order would race the next holder's. The deadline bounds how long an
        // order sent now can still begin, so it must end before the lease.
        if now + self.limits.order_deadline >= lease.held_until {
            return Some(WithheldReason::LeaseEnding);
        }
        // A target without fencing carries out an earlier holder's order that
        // is still on its way. Waiting out the longest order rules that out.
        let waited = now.saturating_duration_since(lease.held_since);
        match desired.fencing {
            FencingSupport::Ignores if waited < self.limits.order_deadline => {
                Some(WithheldReason::EarlierHolder)
            }
            _ => None,
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one round's running counts")]
    fn decide_order(
        &self,
        target: &TargetId,
        desired: &DesiredState,
        state: &TargetState,
        lease: OrderingLease,
        loads_left: &mut usize,
        given_up: &mut BTreeMap<LoadedRange, usize>,
        decisions: &mut Vec<ReconcileDecision>,
    ) {
        let held: BTreeSet<LoadedRange> = state.loaded.iter().cloned().collect();
        let fetching: BTreeSet<LoadedRange> = state.loading.iter().cloned().collect();
        let to_load = desired
            .loaded
            .iter()
            .any(|range| !held.contains(range) && !fetching.contains(range));
        if to_load && *loads_left == 0 {
            decisions.push(withhold(target, WithheldReason::LoadsBounded));
            return;
        }
        let mut wanted = desired.loaded.clone();
        for range in held.difference(&desired.loaded) {
            let others = self.other_holders(target, range);
            let taken = given_up.get(range).copied().unwrap_or(0);
            // Unloading the last holder of a range that a pipeline still names
            // would refuse every request on it until weights arrive elsewhere.
            if self.is_wanted(range) && others <= taken {
                decisions.push(withhold(target, WithheldReason::LastHolder(range.clone())));
                wanted.insert(range.clone());
                continue;
            }
            *given_up.entry(range.clone()).or_insert(0) += 1;
        }
        let order = StateOrder {
            loaded: wanted.iter().cloned().collect(),
            role: desired.role,
            fencing: lease.fencing,
            deadline_ms: u64::try_from(self.limits.order_deadline.as_millis()).unwrap_or(u64::MAX),
        };
        let all_present: BTreeSet<LoadedRange> = held.union(&fetching).cloned().collect();
        if wanted == all_present && state.role == desired.role {
            return;
        }
        if to_load {
            *loads_left -= 1;
        }
        decisions.push(ReconcileDecision::Order {
            target: target.clone(),
            order,
        });
    }

    fn is_wanted(&self, range: &LoadedRange) -> bool {
        self.desired
            .values()
            .any(|desired| desired.loaded.contains(range))
    }

    fn other_holders(&self, target: &TargetId, range: &LoadedRange) -> usize {
        self.observed
            .iter()
            .filter(|(other, _)| *other != target)
            .filter(|(_, seen)| !seen.state.leaving && seen.state.loaded.contains(range))
            .count()
    }
}

fn matches(desired: &DesiredState, state: &TargetState) -> bool {
    let held: BTreeSet<LoadedRange> = state.loaded.iter().cloned().collect();
    held == desired.loaded && state.loading.is_empty() && state.role == desired.role
}

fn withhold(target: &TargetId, reason: WithheldReason) -> ReconcileDecision {
    ReconcileDecision::Withhold {
        target: target.clone(),
        reason,
    }
}
