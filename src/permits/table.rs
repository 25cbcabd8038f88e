//! The limits that targets have named.

use super::observation::LimitObservation;
use super::rate::RateLimit;
use crate::collections::FastMap;
use crate::ids::TargetKey;

/// What an answer changed of what is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The target names a limit, or another one than before.
    Named(RateLimit),
    /// The target no longer names a limit.
    Ended,
}

/// What targets last said of their limits.
#[derive(Debug, Default)]
pub struct LimitTable {
    known: FastMap<TargetKey, LimitObservation>,
}

impl LimitTable {
    /// Takes in what an answer of a target says; gives what that changes.
    pub fn observe(
        &mut self,
        target: TargetKey,
        observation: LimitObservation,
    ) -> Option<LimitChange> {
        let Some(known) = self.known.get_mut(&target) else {
            let rate = observation.rate?;
            self.known.insert(target, observation);
            return Some(LimitChange::Named(rate));
        };
        if known.rate == observation.rate {
            known.sent = known.sent.max(observation.sent);
            known.heard = known.heard.max(observation.heard);
            return None;
        }
        if !observation.replaces(known) {
            return None;
        }
        *known = observation;
        Some(
            observation
                .rate
                .map_or(LimitChange::Ended, LimitChange::Named),
        )
    }

    /// The limit of a target, if it names one.
    pub fn limit(&self, target: TargetKey) -> Option<RateLimit> {
        self.known.get(&target)?.rate
    }

    /// Forgets a target that is gone.
    pub fn forget(&mut self, target: TargetKey) {
        self.known.remove(&target);
    }
}
