//! The data path: forwards callers' requests to targets and returns the responses.
//!
//! [`serve()`] accepts connections, `exchange` handles one request and `relay` one stream.
//! [`crate::ingress`], [`crate::fleet`] and [`crate::retry`] decide about routes, targets
//! and retries.

mod admission_wait;
mod attempt;
mod attempt_policy;
mod caller_connections;
mod choice;
mod closed;
mod connection_phase;
mod connection_tasks;
mod dial;
mod events;
mod exchange;
mod gateway_link;
mod gateway_server;
mod head;
mod head_limit;
mod idle_timer;
mod lateness;
mod limits;
mod liveness;
mod notices;
mod open_attempt;
mod panics;
mod pauses;
mod pending_reads;
mod permit_wait;
mod permits;
mod poison_evidence;
mod probe;
mod progress;
mod race;
mod relay;
mod repath;
mod response;
mod response_end;
mod retry_budgets;
mod retry_grant;
mod serve;
mod shutdown;
mod silence_guard;
pub mod socket;
mod stream_times;
mod tables;
mod target_link;
mod watch;

pub use dial::probe_targets;
pub use events::EventSplitter;
pub use gateway_link::GatewayPeers;
pub use gateway_server::{GatewayHandle, MemberCheck, serve_gateway};
pub use permits::PermitSource;
pub use probe::{CallFailure, TargetReply, call_target, fetch_report};
pub use response::{Refusal, ResponseBody};
pub use serve::{ServingHandle, serve};
pub use tables::{InFlightGuard, ServingTables};
