//! Decisions of the reconciler.

use std::time::Instant;

use crate::ids::{LogOffset, TargetId};
use crate::target::wire::{LoadedRange, StateOrder};

/// The lease under which this daemon sends orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderingLease {
    /// Log offset of the accepted acquisition.
    pub fencing: LogOffset,
    /// When the holder saw its acquisition accepted.
    pub held_since: Instant,
    /// Until when the holder may act, by its own clock.
    pub held_until: Instant,
}

/// What to do about one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReconcileDecision {
    /// Request the target's state.
    Observe {
        /// Target to request.
        target: TargetId,
    },
    /// Send an order, then read the state back.
    Order {
        /// Target that receives the order.
        target: TargetId,
        /// State that the target should be in.
        order: StateOrder,
    },
    /// Send no order although the target differs from its desired state; counted and
    /// explained.
    Withhold {
        /// Target that differs.
        target: TargetId,
        /// Why no order is sent.
        reason: WithheldReason,
    },
}

/// Why an order is withheld.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WithheldReason {
    /// As many loads are in progress as the weights store allows.
    LoadsBounded,
    /// An earlier lease holder's order may still arrive at a target without fencing.
    EarlierHolder,
    /// The lease ends before the deadline of the order.
    LeaseEnding,
    /// The last order failed less than the backoff ago.
    BackingOff,
    /// Runs that began while the range was declared may still use it.
    Retained(LoadedRange),
    /// Unloading would remove the last holder of a range.
    LastHolder(LoadedRange),
}
