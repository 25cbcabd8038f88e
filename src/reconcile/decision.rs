//! What the reconciler decides.

use std::time::Instant;

use crate::ids::{LogOffset, TargetId};
use crate::target::wire::{LoadedRange, StateOrder};

/// The lease under which this daemon gives orders.
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
    /// Ask the target for its state.
    Observe {
        /// The target.
        target: TargetId,
    },
    /// Give an order, then read the state back.
    Order {
        /// The target.
        target: TargetId,
        /// What to send.
        order: StateOrder,
    },
    /// Nothing is ordered although the target differs; counted and explained.
    Withhold {
        /// The target.
        target: TargetId,
        /// Why.
        reason: WithheldReason,
    },
}

/// Why an order is held back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WithheldReason {
    /// As many loads are under way as the weights store allows.
    LoadsBounded,
    /// An earlier holder's order may still arrive at a target without fencing.
    EarlierHolder,
    /// The lease ends before the order would.
    LeaseEnding,
    /// The last order failed a moment ago.
    BackingOff,
    /// Runs that began before the range was no longer declared may use it.
    Retained(LoadedRange),
    /// Unloading would take away the last holder of a range.
    LastHolder(LoadedRange),
}
