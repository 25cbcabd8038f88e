//! Claims on idempotency keys, joined to the log, the peers and the requests.
//!
//! - [`local_state`]: the claim table with the requests of this host that claim;
//! - [`events`]: hands events to a request's machine and carries out what it
//!   decides;
//! - [`stream`]: follows the stream of claims;
//! - [`ticket`]: what a request holds from its claim to its end;
//! - [`outcome_query`]: between the host that holds a key and one that lost it;
//! - [`reply`]: what a caller is told.

mod events;
mod local_state;
mod outcome_query;
mod reply;
mod stream;
mod ticket;

pub(super) use local_state::ClaimState;
pub(super) use outcome_query::handle_outcome_query;
pub(super) use reply::{known_answer, refusal_of, reply_of};
pub(super) use stream::{run_claims, wait_for_settlements};
pub(super) use ticket::{ClaimSubject, ClaimTicket, DispatchedClaim};
