//! An entry host: reads the platform's log, serves callers and places layers on the
//! engines.

mod configuring;
mod follow_cursor;
mod following;
mod kept_records;
mod log_continuity;
mod log_copy;
mod log_role;
mod peering;
mod permitting;
mod placement;
mod poison_log;
mod readiness;
mod relayed_log;
mod relaying;
mod retry_share;
mod run;
mod settings;
mod suspect_targets;
mod target_starts;

pub use follow_cursor::FollowCursor;
pub use following::{TargetFollower, TargetTiming, follow_targets};
pub use kept_records::KeptRecords;
pub use log_continuity::{LogContinuity, LogGap};
pub use log_copy::LogCopy;
pub use log_role::LogRole;
pub use relayed_log::RelayedLog;
pub use run::run_entry;
pub use settings::{EntryBounds, EntrySettings};
pub use suspect_targets::{ConfirmedRemoval, SuspectTargets};
pub use target_starts::{StartVerdict, TargetStarts};
