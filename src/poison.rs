//! Detection of poison requests, which crash each target that begins to run one, and of parts
//! of prompts that do so in whatever request they stand.
//!
//! Without detection, one request takes down engine after engine, with everything else that
//! runs there, for as long as its caller retries it at any host.
//!
//! - [`request_key`] identifies the attempts of one request, and [`part_key`] a part that
//!   prompts share. [`RequestSuspects`] holds the keys of one request.
//! - [`RunStart`] tracks whether a request has only just begun to run on a target.
//! - [`PoisonTable`] holds the targets that ended under each request and part and decides
//!   which requests are refused. Hosts exchange its changes with their views ([`PoisonDelta`]).
//!   What is refused is also kept in the platform's log, so that it outlives a restart
//!   of all hosts.
//!
//! The module does no I/O and reads no clock: the present time is an argument.

mod delta;
mod end_source;
mod evidence;
mod judgement;
mod key;
mod part_rule;
mod recent_ends;
mod record;
mod run_start;
mod survivors;
mod suspect_index;
mod table;

pub use end_source::{EndSource, OrganisationHash};
pub use evidence::{PoisonDelta, PoisonEvent, PoisonEvidence};
pub use judgement::{PoisonJudgement, RequestSuspects};
pub use key::{RequestIdentity, is_part, key_text, organisation_hash, part_key, request_key};
pub use run_start::RunStart;
pub use table::{LogChange, PoisonTable, PoisonVerdict};
