//! Poison requests: each engine that begins to run one crashes. Pure: the present
//! time is an argument.
//!
//! [`request_key`] tells which attempts are the same request, whichever host they
//! reach and whatever id they have.

mod key;

pub use key::{RequestIdentity, request_key};
