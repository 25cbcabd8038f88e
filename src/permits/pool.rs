//! Permits that a host holds, and counts of what it sent with and without them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::request::PermitReply;
use super::send_counts::SendCounts;
use crate::collections::FastMap;
use crate::ids::TargetKey;

/// How long a permit may be used. A permit that is not used in this time is lost, since
/// using it later would add to the requests of that later time.
const PERMIT_TTL: Duration = Duration::from_millis(250);
/// Number of targets from which on those that were sent nothing lately are removed. Targets
/// that left stay until then.
const MAX_TARGETS: usize = 4096;
/// Requests for permits per second of a host that sends much.
const REQUESTS_PER_SECOND: u32 = 6;

/// Permits for one target, and what was sent there.
#[derive(Debug)]
struct TargetPermits {
    /// Times from which each permit may be used, the earliest first.
    held: VecDeque<Instant>,
    permitted: SendCounts,
    unpermitted: SendCounts,
}

impl TargetPermits {
    fn is_used(&self, now: Instant) -> bool {
        self.permitted.total(now) + self.unpermitted.total(now) > 0
    }
}

/// Permits that a host holds.
#[derive(Debug, Default)]
pub struct PermitPool {
    targets: FastMap<TargetKey, TargetPermits>,
}

impl PermitPool {
    /// Counts a request that is sent to a target without a limit.
    pub fn count_unpermitted(&mut self, target: TargetKey, now: Instant) {
        self.permits(target, now).unpermitted.count(1, now);
    }

    /// Returns what was sent to a target without permits, by half seconds of age.
    pub fn unpermitted(&self, target: TargetKey, now: Instant) -> Vec<u16> {
        let permits = self.targets.get(&target);
        permits.map_or_else(Vec::new, |permits| permits.unpermitted.ages(now))
    }

    /// Returns the number of permits to request: one, and the number that the host is
    /// about to use.
    pub fn wanted(&self, target: TargetKey, now: Instant) -> u32 {
        let recent = self.targets.get(&target);
        1 + recent.map_or(0, |permits| permits.permitted.recent(now)) / REQUESTS_PER_SECOND
    }

    /// Adds permits that were granted.
    pub fn put(&mut self, target: TargetKey, reply: PermitReply, now: Instant) {
        let PermitReply::Granted {
            permits,
            delay,
            spacing,
        } = reply
        else {
            return;
        };
        let held = &mut self.permits(target, now).held;
        held.extend((0..permits).map(|number| now + delay + spacing * number));
        held.make_contiguous().sort_unstable();
    }

    /// Takes a permit that may be used within `max_wait`, and returns from when.
    pub fn take(&mut self, target: TargetKey, max_wait: Duration, now: Instant) -> Option<Instant> {
        let permits = self.targets.get_mut(&target)?;
        permits.held.retain(|from| now < *from + PERMIT_TTL);
        let from = permits.held.front().copied();
        let from = from.filter(|from| *from <= now + max_wait)?;
        permits.held.pop_front();
        permits.permitted.count(1, now);
        Some(from)
    }

    /// Puts back a permit that was not used.
    pub fn give_back(&mut self, target: TargetKey, from: Instant) {
        if let Some(permits) = self.targets.get_mut(&target) {
            permits.held.push_front(from);
        }
    }

    /// Removes a start of a target that has ended.
    pub fn forget(&mut self, target: TargetKey) {
        self.targets.remove(&target);
    }

    fn permits(&mut self, target: TargetKey, now: Instant) -> &mut TargetPermits {
        if self.targets.len() >= MAX_TARGETS && !self.targets.contains_key(&target) {
            self.targets.retain(|_, permits| permits.is_used(now));
        }
        self.targets.entry(target).or_insert_with(|| TargetPermits {
            held: VecDeque::new(),
            permitted: SendCounts::new(now),
            unpermitted: SendCounts::new(now),
        })
    }
}
