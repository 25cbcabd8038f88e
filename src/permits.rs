//! Permits to send to targets that limit their rate of requests.
//!
//! A target in need names the requests a second that it takes from all hosts
//! together. Hosts that each keep to that number send a multiple of it.
//!
//! - A [`RateLimit`] is a rate that a target may name.
//! - A [`LimitTable`] holds what targets last said, in the order in which they
//!   can have said it; hosts tell each other of changes ([`LimitDelta`]).
//!
//! - One host of a target's zone ([`issuing_host`]) hands out permits at its limit
//!   ([`PermitIssuer`]); the others ask it ([`PermitRequest`]) and keep what they get
//!   for a moment ([`PermitPool`]).
//!
//! Pure: the present time is an argument.

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
