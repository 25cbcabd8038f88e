//! Poison requests: each target that begins to run one crashes.
//!
//! Without this, one request takes down engine after engine for as long as its
//! caller comes back, at whichever host, and everything else that ran there with it.
//!
//! - [`request_key`] tells which attempts are the same request.
//! - A [`RunStart`] tells whether a target ended as the request began to run there.
//! - A [`PoisonTable`] holds the targets that ended under each request, and says
//!   which requests are refused. Hosts tell each other its notes with the views that
//!   they exchange ([`PoisonDelta`]); what is refused is kept in the platform's log
//!   besides, so that it outlives a restart of all hosts.
//!
//! Pure: the present time is an argument.

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
