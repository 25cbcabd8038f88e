//! An entry host on the users' platform: reads the platform's log, serves
//! callers and keeps the engines' layers in place.

mod configuring;
mod doubted;
mod follow_cursor;
mod following;
mod kept_records;
mod log_continuity;
mod log_copy;
mod log_duty;
mod peering;
mod permitting;
mod placing;
mod poison_log;
mod readiness;
mod relayed_log;
mod relaying;
mod retry_share;
mod run;
mod settings;
mod target_starts;

pub use doubted::{DoubtedTargets, SettledTarget};
pub use follow_cursor::FollowCursor;
pub use following::{TargetFollower, TargetPace, follow_targets};
pub use kept_records::KeptRecords;
pub use log_continuity::{LogContinuity, LogGap};
pub use log_copy::LogCopy;
pub use log_duty::LogDuty;
pub use relayed_log::RelayedLog;
pub use run::run_entry;
pub use settings::{EntryBounds, EntrySettings};
pub use target_starts::{StartVerdict, TargetStarts};
