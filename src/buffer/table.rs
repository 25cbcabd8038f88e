//! Decides which bodies get memory, and which have to give it back.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Id of a body that holds memory of the pool.
pub type HolderId = u64;

/// Bytes of each body that the pool is not charged for, so that small bodies pass while large
/// ones use the pool up. The number of such bodies is bounded by that of the connections.
pub const SMALL_BYTES: usize = 16 * 1024;
/// Time without growth after which an incomplete body has to give its memory back to others.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// What becomes of a body that needs more memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrowDecision {
    /// It has the memory.
    Granted,
    /// Bodies that were evicted are about to return enough.
    Wait,
    /// This body has to return its memory; ask again.
    Evict(HolderId),
    /// There is not enough, and every other body is complete or makes progress.
    Denied,
}

/// A body that holds memory.
#[derive(Debug, Clone, Copy)]
struct BufferHolder {
    /// Bytes that the pool is charged for.
    charged: usize,
    state: HolderState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HolderState {
    /// It is incomplete, and has grown at this time.
    Arriving(Instant),
    /// It is complete and in use.
    Complete,
    /// It was told to return its memory.
    Evicted,
}

/// The memory for bodies, and the bodies that hold some of it.
///
/// Answers many large bodies at once, of which most never end: a body that has not grown for
/// two seconds makes room for others, the one that has waited longest first.
#[derive(Debug, Clone)]
pub struct BufferTable {
    /// Memory for all bodies, in bytes.
    limit: usize,
    /// Sum of what the holders are charged for.
    charged: usize,
    /// The part of it that evicted holders are about to return.
    returning: usize,
    next: HolderId,
    /// Ordered, so that equal waits lead to equal decisions.
    holders: BTreeMap<HolderId, BufferHolder>,
}

impl BufferTable {
    /// Creates a table that grants up to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            charged: 0,
            returning: 0,
            next: 0,
            holders: BTreeMap::new(),
        }
    }

    /// Returns the memory for all bodies, in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the bytes that all bodies are charged for.
    pub fn charged(&self) -> usize {
        self.charged
    }

    /// Adds a body that holds nothing yet.
    pub fn open(&mut self, now: Instant) -> HolderId {
        let id = self.next;
        self.next += 1;
        let holder = BufferHolder {
            charged: 0,
            state: HolderState::Arriving(now),
        };
        self.holders.insert(id, holder);
        id
    }

    /// Decides whether a body may hold `bytes` in all.
    pub fn grow(&mut self, id: HolderId, bytes: usize, now: Instant) -> GrowDecision {
        let Some(holder) = self.holders.get_mut(&id) else {
            return GrowDecision::Denied;
        };
        let more = bytes
            .saturating_sub(SMALL_BYTES)
            .saturating_sub(holder.charged);
        let needed = self.charged.saturating_add(more);
        match holder.state {
            HolderState::Evicted => GrowDecision::Denied,
            HolderState::Arriving(_) | HolderState::Complete if needed <= self.limit => {
                holder.charged += more;
                if let HolderState::Arriving(grown) = &mut holder.state {
                    *grown = now;
                }
                self.charged = needed;
                GrowDecision::Granted
            }
            // Nothing that others hold would be enough.
            _ if holder.charged.saturating_add(more) > self.limit => GrowDecision::Denied,
            _ if needed - self.returning <= self.limit => GrowDecision::Wait,
            _ => match self.evict(id, now) {
                Some(evicted) => GrowDecision::Evict(evicted),
                None => GrowDecision::Denied,
            },
        }
    }

    /// Chooses the incomplete body that has not grown for longest.
    fn evict(&mut self, asking: HolderId, now: Instant) -> Option<HolderId> {
        let waiting = self
            .holders
            .iter()
            .filter_map(|(id, holder)| match holder.state {
                HolderState::Arriving(grown)
                    if *id != asking
                        && holder.charged > 0
                        && now.saturating_duration_since(grown) >= MAX_PAUSE =>
                {
                    Some((grown, *id))
                }
                _ => None,
            });
        let (_, id) = waiting.min()?;
        let holder = self.holders.get_mut(&id)?;
        holder.state = HolderState::Evicted;
        self.returning += holder.charged;
        Some(id)
    }

    /// Records that a body is complete, so that it keeps its memory until it is closed.
    /// Returns false if it was evicted.
    pub fn complete(&mut self, id: HolderId) -> bool {
        match self.holders.get_mut(&id) {
            Some(holder) if holder.state != HolderState::Evicted => {
                holder.state = HolderState::Complete;
                true
            }
            Some(_) | None => false,
        }
    }

    /// Returns the memory of a body.
    pub fn close(&mut self, id: HolderId) {
        let Some(holder) = self.holders.remove(&id) else {
            return;
        };
        self.charged -= holder.charged;
        if holder.state == HolderState::Evicted {
            self.returning -= holder.charged;
        }
    }
}
