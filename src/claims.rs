//! Dispatches each non-idempotent request at most once.
//!
//! A host that receives a non-idempotent request appends a claim on the request's
//! idempotency key to the log before it sends anything to a target. The first claim on a
//! key in log order wins, and only its writer may dispatch the request, once.
//!
//! - [`key`]: idempotency keys, which contain their creation time;
//! - [`record`]: the records that are written to the log;
//! - [`window`]: how long a key is accepted, and the tolerated clock skew;
//! - [`table`]: applies the records, with the same result on every host;
//! - [`machine`]: the state machine of one request on one host;
//! - [`response`]: what a caller receives if its request is not dispatched.
//!
//! `docs/design/claims.md` describes the alternatives that were considered.

mod coverage;
pub mod key;
pub mod machine;
pub mod record;
pub mod response;
pub mod table;
pub mod window;
