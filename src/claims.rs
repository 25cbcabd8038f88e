//! At most once for non-idempotent requests.
//!
//! A host that gets a non-idempotent request appends a claim on the request's
//! idempotency key to the log before it sends anything to a target. The first
//! claim on a key in log order wins, and only its writer may dispatch, once.
//!
//! - [`key`]: idempotency keys, which carry their creation time;
//! - [`record`]: what is written to the log;
//! - [`window`]: how long a key may be used, and clock skew;
//! - [`table`]: judges records, alike on every host;
//! - [`machine`]: what one host does for one request.
//!
//! `docs/design/claims.md` tells what was weighed.

mod coverage;
pub mod key;
pub mod machine;
pub mod record;
pub mod response;
pub mod table;
pub mod window;
