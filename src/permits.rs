//! Permits to send requests to targets that limit their rate.
//!
//! An overloaded target names the requests per second that it accepts from all hosts
//! together. If each host kept to that rate by itself, they would send a multiple of it.
//!
//! - A [`RateLimit`] is a rate that a target may name.
//! - A [`LimitTable`] holds the latest limits of targets, in the order in which the
//!   targets can have sent them. Hosts exchange changes ([`LimitDelta`]).
//! - One host of a target's zone ([`issuing_host`]) issues permits at the target's limit
//!   ([`PermitIssuer`]). The other hosts request them ([`PermitRequest`]) and hold the
//!   granted ones for a short time ([`PermitPool`]).
//!
//! This module performs no I/O: the present time is an argument.

mod assignment;
mod issuer;
mod max_wait;
mod observation;
mod pool;
mod rate;
mod request;
mod send_counts;
mod table;

pub use assignment::{issued_share, issuing_host};
pub use issuer::PermitIssuer;
pub use max_wait::max_permit_wait;
pub use observation::LimitObservation;
pub use pool::PermitPool;
pub use rate::RateLimit;
pub use request::{PermitReply, PermitRequest};
pub use table::{LimitChange, LimitDelta, LimitRecord, LimitTable};
