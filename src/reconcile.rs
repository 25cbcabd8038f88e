//! Declared state against observed state of targets: which orders to give.
//!
//! One lease holder gives the orders of an availability zone. An order says
//! which state to be in, so a repeated or late one does no harm by itself; a
//! stale one is mended by the next observation. Nothing here does I/O.

mod decision;
mod desired;
mod limits;
mod round;
mod table;

pub use decision::{OrderingLease, ReconcileDecision, WithheldReason};
pub use desired::{DesiredState, desired_states};
pub use limits::ReconcileLimits;
pub use table::ReconcileTable;
