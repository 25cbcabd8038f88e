//! The data path: requests of callers go on to targets, answers come back.
//!
//! [`serve`] takes connections, `exchange` carries one request, `relay` one
//! stream. Decisions are taken by [`crate::ingress`], [`crate::fleet`] and
//! [`crate::retry`].

mod answer;
mod attempt;
mod choice;
mod closed;
mod conduct;
mod events;
mod evidence;
mod exchange;
mod head;
mod lateness;
mod limits;
mod liveness;
mod moving;
mod permits;
mod permitting;
mod probe;
mod relay;
mod serve;
pub mod socket;
mod stream_times;
mod tables;
mod watch;

pub use answer::{AnswerBody, Refusal};
pub use events::EventSplitter;
pub use exchange::answer_request;
pub use permits::PermitSource;
pub use probe::{ask, fetch_report};
pub use serve::{ServingHandle, serve};
pub use tables::{InFlightGuard, ServingTables};
