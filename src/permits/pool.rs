//! The permits that a host holds, and what it sent without any.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::request::PermitReply;
use super::send_counts::SendCounts;
use crate::collections::FastMap;
use crate::ids::TargetKey;

/// How long a permit may be used. One that nobody needs in that time is lost to the
/// target, and one that is used later would come on top of those of its time.
const PERMIT_TTL: Duration = Duration::from_millis(250);
/// How often a second a host that sends much asks for permits.
const REQUESTS_PER_SECOND: u32 = 6;

/// Permits for one target, and what was sent there.
#[derive(Debug)]
struct TargetPermits {
    /// From when each may be used, the earliest first.
    held: VecDeque<Instant>,
    permitted: SendCounts,
    unpermitted: SendCounts,
}

/// The permits that a host holds.
#[derive(Debug, Default)]
pub struct PermitPool {
    targets: FastMap<TargetKey, TargetPermits>,
}

impl PermitPool {
    /// A request is sent to a target that names no limit.
    pub fn count_unpermitted(&mut self, target: TargetKey, now: Instant) {
        self.permits(target, now).unpermitted.count(1, now);
    }

    /// What was sent to a target without permits, by half seconds of age.
    pub fn unpermitted(&self, target: TargetKey, now: Instant) -> Vec<u16> {
        let permits = self.targets.get(&target);
        permits.map_or_else(Vec::new, |permits| permits.unpermitted.ages(now))
    }

    /// Permits to ask for: one, and what the host is about to send besides.
    pub fn wanted(&self, target: TargetKey, now: Instant) -> u32 {
        let recent = self.targets.get(&target);
        1 + recent.map_or(0, |permits| permits.permitted.recent(now)) / REQUESTS_PER_SECOND
    }

    /// Takes permits in that were granted.
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

    /// Takes a permit that may be used within `max_wait`; gives from when.
    pub fn take(&mut self, target: TargetKey, max_wait: Duration, now: Instant) -> Option<Instant> {
        let permits = self.targets.get_mut(&target)?;
        permits.held.retain(|from| now < *from + PERMIT_TTL);
        let from = permits.held.front().copied();
        let from = from.filter(|from| *from <= now + max_wait)?;
        permits.held.pop_front();
        permits.permitted.count(1, now);
        Some(from)
    }

    /// Takes a permit back that was not used.
    pub fn give_back(&mut self, target: TargetKey, from: Instant) {
        if let Some(permits) = self.targets.get_mut(&target) {
            permits.held.push_front(from);
        }
    }

    /// Forgets a target that is gone.
    pub fn forget(&mut self, target: TargetKey) {
        self.targets.remove(&target);
    }

    fn permits(&mut self, target: TargetKey, now: Instant) -> &mut TargetPermits {
        self.targets.entry(target).or_insert_with(|| TargetPermits {
            held: VecDeque::new(),
            permitted: SendCounts::new(now),
            unpermitted: SendCounts::new(now),
        })
    }
}
