//! Stand-ins for the platform, the engines and the services, for tests and measurements.
//!
//! Each speaks the wire protocol of its role over HTTP/1.1 and records the work that it
//! performed. Faults are injected through a Rust handle or by `PUT /control/faults`.
//! [`mod@reference`] computes the expected response independently. None of this is
//! shipped.

mod batch;
pub mod caller;
pub mod check;
pub mod command_line;
pub mod daemon_settings;
pub mod declarations;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod http_server;
pub mod json_client;
pub mod load;
mod load_gauge;
pub mod losses;
pub mod operator;
pub mod pipeline;
pub mod platform;

mod record_list;
pub mod reference;
mod refusal;
pub mod service;
pub mod slopes;
pub mod soak;
pub mod trial;
