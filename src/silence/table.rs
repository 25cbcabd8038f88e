//! The targets on which a host runs attempts, and which of them do not respond.

use crate::collections::FastMap;
use crate::ids::{ServiceId, TargetId};

/// Fewest targets in use from which on a silence may be widespread: of two, one may have ended.
const MIN_TARGETS: usize = 3;

/// Attempts on one target, as the first of their paths.
#[derive(Debug)]
struct TargetUse {
    service: ServiceId,
    attempts: u32,
    unresponsive: u32,
}

/// The attempts of a host by target.
#[derive(Debug, Default)]
pub struct SilenceTable {
    targets: FastMap<TargetId, TargetUse>,
}

impl SilenceTable {
    /// Records that an attempt is made on a target of a service.
    pub fn observe_start(&mut self, service: &ServiceId, target: &TargetId) {
        let used = self.targets.entry(target.clone());
        let used = used.or_insert_with(|| TargetUse {
            service: service.clone(),
            attempts: 0,
            unresponsive: 0,
        });
        used.attempts += 1;
    }

    /// Records that an attempt ended.
    pub fn observe_end(&mut self, target: &TargetId, was_unresponsive: bool) {
        let Some(used) = self.targets.get_mut(target) else {
            return;
        };
        used.attempts = used.attempts.saturating_sub(1);
        used.unresponsive = used
            .unresponsive
            .saturating_sub(u32::from(was_unresponsive));
        if used.attempts == 0 {
            self.targets.remove(target);
        }
    }

    /// Records that the target of an attempt does not respond, or responds again.
    pub fn set_unresponsive(&mut self, target: &TargetId, is_unresponsive: bool) {
        if let Some(used) = self.targets.get_mut(target) {
            used.unresponsive = match is_unresponsive {
                true => used.unresponsive + 1,
                false => used.unresponsive.saturating_sub(1),
            };
        }
    }

    /// Returns whether most targets of a service that are in use do not respond, so that another
    /// attempt would probably wait as well.
    pub fn is_widespread(&self, service: &str) -> bool {
        let used = self.targets.values();
        let used = used.filter(|used| *used.service == *service);
        let unresponsive = used.clone().filter(|used| used.unresponsive > 0).count();
        let used = used.count();
        used >= MIN_TARGETS && unresponsive * 2 > used
    }
}
