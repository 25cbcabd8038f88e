//! Permits to send to targets that limit their rate of requests.
//!
//! A target in need names the requests a second that it takes from all hosts
//! together. Hosts that each keep to that number send a multiple of it.
//!
//! - A [`RateLimit`] is a rate that a target may name.
//! - A [`LimitTable`] holds what targets last said, in the order in which they
//!   can have said it.
//!
//! Pure: the present time is an argument.

mod observation;
mod rate;
mod table;

pub use observation::LimitObservation;
pub use rate::RateLimit;
pub use table::{LimitChange, LimitTable};
