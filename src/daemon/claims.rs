//! Claims on idempotency keys, joined to the log, the peers and the requests.
//!
//! - [`desk`]: the claim table with the requests of this host that claim;
//! - [`feed`]: hands events to a request's machine and carries out what it
//!   decides;
//! - [`follow`]: follows the stream of claims;
//! - [`ticket`]: what a request holds from its claim to its end;
//! - [`ask`]: between the host that holds a key and one that lost it;
//! - [`reply`]: what a caller is told.

mod ask;
mod desk;
mod feed;
mod follow;
mod reply;
mod ticket;

pub(super) use ask::answer_peer;
pub(super) use desk::ClaimDesk;
pub(super) use follow::{run_claims, wait_for_settlements};
pub(super) use reply::{known_better, refusal_of, reply_of};
pub(super) use ticket::{ClaimSubject, ClaimTicket, DispatchedClaim};
