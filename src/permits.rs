//! Permits to send to targets that limit their rate of requests.
//!
//! A target in need names the requests a second that it takes from all hosts
//! together. Hosts that each keep to that number send a multiple of it.
//!
//! - A [`RateLimit`] is a rate that a target may name.
//! - A [`LimitTable`] holds what targets last said, in the order in which they
//!   can have said it; hosts tell each other of changes ([`LimitListing`]).
//!
//! - One host of a target's zone ([`issuing_host`]) hands out permits at its limit
//!   ([`PermitIssuer`]); the others ask it ([`PermitQuestion`]) and keep what they get
//!   for a moment ([`PermitPool`]).
//!
//! Pure: the present time is an argument.

mod duty;
mod issuer;
mod observation;
mod patience;
mod pool;
mod question;
mod rate;
mod sends;
mod table;

pub use duty::{issued_part, issuing_host};
pub use issuer::PermitIssuer;
pub use observation::LimitObservation;
pub use patience::permit_patience;
pub use pool::PermitPool;
pub use question::{PermitAnswer, PermitQuestion};
pub use rate::RateLimit;
pub use table::{LimitChange, LimitListing, LimitTable, LimitWord};
