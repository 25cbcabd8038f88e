//! Reconciliation of the declared with the observed state of targets: decides which
//! orders to send.
//!
//! The holder of one lease sends the orders of an availability zone. An order names the
//! complete state that a target should be in, so that a repeated or late order does no
//! harm by itself, and the next observation corrects the effect of a stale one. This
//! module does no I/O.

mod decision;
mod desired;
mod limits;
mod round;
mod table;

pub use decision::{OrderingLease, ReconcileDecision, WithheldReason};
pub use desired::{DesiredState, desired_states};
pub use limits::ReconcileLimits;
pub use table::ReconcileTable;
