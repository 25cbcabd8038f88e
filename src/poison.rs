//! Detection of poison requests, which crash each target that begins to run one.
//!
//! Without detection, one request takes down engine after engine, with everything else that
//! runs there, for as long as its caller retries it at any host.
//!
//! - [`request_key`] identifies the attempts of one request.
//! - [`RunStart`] tracks whether a request has only just begun to run on a target.
//! - [`PoisonTable`] holds the targets that ended under each request and decides which
//!   requests are refused. Hosts exchange its changes with their views ([`PoisonDelta`]).
//!   Refused requests are also kept in the platform's log, so that they outlive a restart
//!   of all hosts.
//!
//! The module does no I/O and reads no clock: the present time is an argument.

mod delta;
mod evidence;
mod key;
mod record;
mod run_start;
mod survivors;
mod table;

pub use evidence::{PoisonDelta, PoisonEvent, PoisonEvidence};
pub use key::{RequestIdentity, key_text, request_key};
pub use run_start::RunStart;
pub use table::{LogChange, PoisonTable, PoisonVerdict};
