//! The requests of this host that wait for room.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::fairness::fair_next;
use crate::ids::ServiceId;

/// Most requests that wait on one host; a bound on memory.
pub const MAX_WAITING: usize = 256;
/// Time after which starts no longer count against an organisation.
const START_MEMORY: Duration = Duration::from_secs(1);
/// Most starts that are remembered; a bound on memory and on the time of a decision.
const MAX_STARTS: usize = 256;

/// Identifies a waiting request.
pub type WaitTicket = u64;

/// A request that waits for room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The service that it is for.
    pub service: ServiceId,
    /// Its priority, 0 first.
    pub priority: u8,
    /// Hash of the name of its organisation.
    pub organisation: u64,
    /// When its first event stops being on time.
    pub objective_at: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

/// Waiting requests by rank, then organisation, then latency objective and deadline.
#[derive(Debug, Clone, Default)]
pub struct StartQueue {
    waiting: BTreeMap<WaitTicket, WaitingRequest>,
    starts: Vec<(Instant, u64)>,
    next_ticket: WaitTicket,
}

impl StartQueue {
    /// Adds a request, or returns `None` if as many wait as may.
    pub fn add(&mut self, request: WaitingRequest) -> Option<WaitTicket> {
        if self.waiting.len() >= MAX_WAITING {
            return None;
        }
        self.next_ticket += 1;
        self.waiting.insert(self.next_ticket, request);
        Some(self.next_ticket)
    }

    /// Removes a request that was started, refused or left by its caller.
    pub fn remove(&mut self, ticket: WaitTicket) {
        self.waiting.remove(&ticket);
    }

    /// Counts a start of an organisation after a wait.
    pub fn count_start(&mut self, organisation: u64, now: Instant) {
        self.starts
            .retain(|(at, _)| now.saturating_duration_since(*at) < START_MEMORY);
        if self.starts.len() < MAX_STARTS {
            self.starts.push((now, organisation));
        }
    }

    /// Sets the priority of a waiting request, which a new configuration may change.
    pub fn set_priority(&mut self, ticket: WaitTicket, priority: u8) {
        if let Some(request) = self.waiting.get_mut(&ticket) {
            request.priority = priority;
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether a request of a more urgent priority waits for a service.
    pub fn waits_above(&self, service: &str, priority: u8) -> bool {
        let mut waiting = self.waiting.values();
        waiting.any(|request| *request.service == *service && request.priority < priority)
    }

    /// Returns the number of requests that wait for a service with a priority.
    pub fn count(&self, service: &str, priority: u8) -> usize {
        let waiting = self.waiting.values();
        let same = |request: &&WaitingRequest| {
            *request.service == *service && request.priority == priority
        };
        waiting.filter(same).count()
    }

    /// Returns the request of a service that is tried next.
    pub fn next(&self, service: &str, now: Instant) -> Option<WaitTicket> {
        let waiting = self.waiting.iter();
        let waiting = waiting.filter(|(_, request)| *request.service == *service);
        let rank = waiting.clone().map(|(_, request)| request.priority).min()?;
        let waiting = waiting.filter(|(_, request)| request.priority == rank);
        let mut counts = BTreeMap::<u64, (u32, u32)>::new();
        for (_, request) in waiting.clone() {
            counts.entry(request.organisation).or_default().1 += 1;
        }
        for (at, organisation) in &self.starts {
            let is_recent = now.saturating_duration_since(*at) < START_MEMORY;
            if let Some(count) = counts.get_mut(organisation).filter(|_| is_recent) {
                count.0 += 1;
            }
        }
        let fair = fair_next(&counts);
        let key = |(ticket, request): &(&WaitTicket, &WaitingRequest)| {
            let is_unfair = !fair.contains(&request.organisation);
            let is_late = request.objective_at <= now;
            (is_unfair, is_late, request.deadline, **ticket)
        };
        waiting.min_by_key(key).map(|(ticket, _)| *ticket)
    }
}
