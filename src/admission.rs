//! Limits, queues and giving up, per organisation.
//!
//! [`AdmissionTable`] starts a request, lets it wait in its organisation's
//! bounded queue, or refuses it for good. Commands return the decisions that
//! they cause; nothing happens by itself, so [`AdmissionTable::tick`] has to
//! be called at about the time that [`AdmissionTable::next_tick`] names.

mod bucket;
mod commands;
mod drain;
mod estimate;
mod organisation;
mod overload;
mod queries;
mod select;
mod settings;
mod table;
mod ticket;

pub use overload::OverloadGauge;
pub use settings::AdmissionSettings;
pub use table::AdmissionTable;
pub use ticket::{AdmissionDecision, AdmissionRequest, ReleaseCause, ShareLimit};
