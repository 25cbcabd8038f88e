//! The two invariants: a target that left is dropped, and a live target is known.

use super::faults::FaultKind;
use super::world::{DRAIN_MS, HEARTBEAT_MS, HOSTS, READ_PAUSE_MS, RETURN_MS, SimTarget, World};

/// Time without a fault after which the first invariant applies to a host.
const CONTACT_MS: u64 = 3000;

impl World {
    /// Returns the current violations.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for host in 0..HOSTS {
            for target in &self.targets {
                let known = self.hosts[host].knows(&target.name);
                let context = format!("{} ms: host {host}, {}", self.now_ms, target.name);
                if known && self.must_be_removed(host, target) {
                    violations.push(format!(
                        "{context} is known but left at {:?}",
                        target.left_ms
                    ));
                }
                if !known && self.must_be_known(host, target) {
                    violations.push(format!("{context} is live but not known"));
                }
            }
        }
        violations
    }

    fn must_be_removed(&self, host: usize, target: &SimTarget) -> bool {
        let Some(left_ms) = target.left_ms else {
            return false;
        };
        let since = self.now_ms.saturating_sub(CONTACT_MS);
        let disturbed = self.was_on_since(since, |kind| self.disturbs(kind, host));
        !disturbed && self.now_ms > left_ms + DRAIN_MS
    }

    /// Returns whether a fault cuts a host off from the log or restarts it.
    fn disturbs(&self, kind: FaultKind, host: usize) -> bool {
        match kind {
            FaultKind::LogDown | FaultKind::Restore(_) => true,
            FaultKind::ZoneCut(cut) => cut == self.hosts[host].zone,
            FaultKind::HostCut(cut) | FaultKind::LogRefused(cut) | FaultKind::Restart(cut) => {
                cut == host
            }
            FaultKind::Trim | FaultKind::LateWrites(_) => false,
        }
    }

    /// Returns when the last fault that matches ended, or now if it lasts; 0 if there was
    /// none.
    fn last_fault_ms<F>(&self, wanted: F) -> u64
    where
        F: Fn(FaultKind) -> bool,
    {
        let begun = self
            .faults
            .iter()
            .filter(|fault| fault.from_ms <= self.now_ms);
        let ends = begun.filter(|fault| wanted(fault.kind));
        let ends = ends.map(|fault| fault.until_ms.min(self.now_ms));
        ends.max().unwrap_or(0)
    }

    fn must_be_known(&self, host: usize, target: &SimTarget) -> bool {
        // Targets are known only after their first heartbeats.
        let settled = self.now_ms > 2 * HEARTBEAT_MS;
        let zone = self.hosts[host].zone;
        // A host drops the entries of another zone that is cut off. It has them again a
        // while after it can read the log and the entries are back there.
        let zone_fault_ms = self.last_fault_ms(|kind| match kind {
            FaultKind::ZoneCut(cut) => cut == target.zone && zone != target.zone,
            _ => false,
        });
        let own_fault_ms = self.last_fault_ms(|kind| self.disturbs(kind, host));
        let back_ms = zone_fault_ms.max(own_fault_ms) + RETURN_MS + 2 * READ_PAUSE_MS;
        let away = zone_fault_ms > 0 && self.now_ms < back_ms;
        // A restarted host learns the entries from the log or from another host.
        let restart_ms = self.last_fault_ms(|kind| kind == FaultKind::Restart(host));
        let log_ms = restart_ms.max(own_fault_ms) + RETURN_MS + 2 * READ_PAUSE_MS;
        let started = restart_ms > 0 && self.now_ms < log_ms;
        // Entries expire while heartbeats are late.
        let late_ms = self.last_fault_ms(|kind| matches!(kind, FaultKind::LateWrites(_)));
        settled
            && late_ms == 0
            && target.left_ms.is_none()
            && !away
            && !started
            && !self.is_cut_while_returning(target)
    }

    /// Returns whether the zone of a target is or was cut off while its entry was due to return
    /// after a loss of the log. Hosts need not see a cut that falls between two reads, and an
    /// entry that is missing two seconds after the log is back counts as gone.
    fn is_cut_while_returning(&self, target: &SimTarget) -> bool {
        let begun = self
            .faults
            .iter()
            .filter(|fault| fault.from_ms <= self.now_ms);
        let mut cuts = begun.clone().filter(|fault| {
            fault.kind == FaultKind::ZoneCut(target.zone)
                && self.now_ms < fault.until_ms + RETURN_MS + 2 * READ_PAUSE_MS
        });
        let losses =
            begun.filter(|fault| matches!(fault.kind, FaultKind::LogDown | FaultKind::Restore(_)));
        let returns = losses.map(|loss| loss.until_ms..loss.until_ms + RETURN_MS);
        let returns = returns.collect::<Vec<_>>();
        cuts.any(|cut| returns.iter().any(|times| times.contains(&cut.from_ms)))
    }
}
