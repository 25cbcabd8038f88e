//! The client side of the platform: its log service and its host list.
//!
//! [`client`] makes single calls, [`append_queue`] batches appends and
//! [`log_tail`] follows a stream.

pub mod append_queue;
pub mod backoff;
pub mod client;
pub mod error;
pub mod log_tail;
pub mod wire;
