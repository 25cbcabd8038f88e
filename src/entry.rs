//! An entry host: reads the platform's log, serves callers and places layers on the
//! engines.

mod capacity_refresh;
mod configuration_follower;
mod drain;
mod follow_cursor;
mod gateway_peers;
mod host_log;
mod kept_records;
mod log_continuity;
mod log_copy;
mod log_role;
mod peer_exchange;
mod permit_requests;
mod placement;
mod poison_log;
mod readiness;
mod relay_follower;
mod relayed_log;
mod retry_share;
mod run;
mod settings;
mod settings_watch;
mod suspect_targets;
mod target_follower;
mod target_starts;
mod zone_balance;

pub use configuration_follower::follow_configuration;
pub use drain::drain;
pub use follow_cursor::FollowCursor;
pub use kept_records::KeptRecords;
pub use log_continuity::{LogContinuity, LogGap};
pub use log_copy::{LogCopy, LogTopic};
pub use log_role::LogRole;
pub use poison_log::write_poison;
pub use relayed_log::RelayedLog;
pub use run::run_entry;
pub use settings::{EntryBounds, EntrySettings};
pub use suspect_targets::{ConfirmedRemoval, SuspectTargets};
pub use target_follower::{TargetFollower, TargetTiming, follow_targets};
pub use target_starts::{RecordTime, StartVerdict, TargetStarts};
