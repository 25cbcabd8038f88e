//! Per-organisation admission control: rate limits, bounded queues and load shedding.
//!
//! [`AdmissionTable`] starts a request, queues it in its organisation's bounded queue, or
//! refuses it permanently. Each command returns the decisions that it causes. The table
//! has no timer of its own: the caller calls [`AdmissionTable::tick`] at about the time
//! that [`AdmissionTable::next_tick`] returns.

mod bucket;
mod commands;
mod connection_gate;
mod connection_table;
mod drain;
mod estimate;
mod organisation;
mod overload;
mod queries;
mod select;
mod settings;
pub mod start;
mod table;
mod ticket;

pub use connection_gate::{ConnectionGate, ZoneLoad};
pub use connection_table::{ConnectionDecision, ConnectionId, ConnectionLimits, ConnectionTable};
pub use overload::OverloadGauge;
pub use settings::AdmissionSettings;
pub use table::AdmissionTable;
pub use ticket::{AdmissionDecision, AdmissionRequest, ReleaseCause, ShareLimit};
