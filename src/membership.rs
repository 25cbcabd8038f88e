//! The hosts of the system and the targets that they watch, as one host knows
//! them.
//!
//! Every host exchanges heartbeats with all others of its availability zone
//! and with a few of each other zone. The tables here decide whom to call,
//! whom to count as live and which targets take new work; they do no I/O.

mod commands;
mod decision;
mod force_view;
mod gossip;
mod member;
mod queries;
mod rendezvous;
mod rotation;
mod schedule;
mod settings;
mod table;
mod target_watch;
mod watch_queries;

pub use decision::{GoneCause, MembershipDecision};
pub use force_view::{ForceView, ZoneForce};
pub use gossip::{GossipMember, GossipTable};
pub use member::{HostMember, MemberPhase};
pub use rendezvous::{rendezvous_score, top_ranked};
pub use rotation::RotationReason;
pub use settings::{MembershipSettings, WatchSettings};
pub use table::MembershipTable;
pub use target_watch::{DeclaredTarget, TargetSighting, TargetWatch};
