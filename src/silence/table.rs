//! The targets on which a host runs attempts, and which of them are silent.

use crate::collections::FastMap;
use crate::ids::{ServiceId, TargetId};

/// Fewest targets in use from which on a silence may count as widespread: of two, one may
/// have ended.
const MIN_TARGETS: usize = 3;

/// Attempts on one target, as the first of their paths.
#[derive(Debug)]
struct TargetUse {
    service: ServiceId,
    attempts: u32,
    silent: u32,
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
            silent: 0,
        });
        used.attempts += 1;
    }

    /// Records that an attempt ended, which was silent or not.
    pub fn observe_end(&mut self, target: &TargetId, was_silent: bool) {
        let Some(used) = self.targets.get_mut(target) else {
            return;
        };
        used.attempts = used.attempts.saturating_sub(1);
        used.silent = used.silent.saturating_sub(u32::from(was_silent));
        if used.attempts == 0 {
            self.targets.remove(target);
        }
    }

    /// Records that an attempt has become silent, or has progressed after a silence.
    pub fn set_silent(&mut self, target: &TargetId, is_silent: bool) {
        if let Some(used) = self.targets.get_mut(target) {
            used.silent = match is_silent {
                true => used.silent + 1,
                false => used.silent.saturating_sub(1),
            };
        }
    }

    /// Returns whether most targets of a service that are in use are silent, so that another
    /// attempt would probably be silent as well.
    pub fn is_widespread(&self, service: &str) -> bool {
        let used = self.targets.values();
        let used = used.filter(|used| *used.service == *service);
        let silent = used.clone().filter(|used| used.silent > 0).count();
        let used = used.count();
        used >= MIN_TARGETS && silent * 2 > used
    }
}
