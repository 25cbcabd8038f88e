//! Clients of the platform's log service and host list, and the formats that it
//! exchanges.
//!
//! [`client`] makes single calls, [`append_queue`] batches appends and [`log_tail`]
//! follows a stream.

pub mod append_queue;
pub mod backoff;
pub mod client;
pub mod configuration_record;
pub mod error;
pub mod host_record;
pub mod host_settings;
pub mod log_calls;
pub mod log_tail;
pub mod names;
pub mod number_header;
pub mod order;
pub mod poison_record;
pub mod prompt_parts;
pub mod target_notice;
pub mod target_record;
pub mod wire;
