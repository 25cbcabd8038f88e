//! Claims on idempotency keys, connected to the log, the peers and the requests.
//!
//! - [`local_state`]: the claim table and this host's claiming requests;
//! - [`events`]: passes events to a request's state machine and executes its decisions;
//! - [`stream`]: follows the claim stream;
//! - [`ticket`]: handles that a request holds from its claim to its end;
//! - [`outcome_query`]: queries between the holder of a key and a host that lost it;
//! - [`reply`]: replies to callers whose request this host did not send.

mod events;
mod local_state;
mod outcome_query;
mod reply;
mod stream;
mod ticket;

pub(super) use local_state::ClaimState;
pub(super) use outcome_query::handle_outcome_query;
pub(super) use reply::{known_response, refusal_of, reply_of};
pub(super) use stream::{run_claims, wait_for_settlements};
pub(super) use ticket::{ClaimSubject, ClaimTicket, DispatchedClaim};
