//! Membership of hosts and monitoring of targets, as seen by one host.
//!
//! Every daemon exchanges heartbeats with all other hosts of its availability zone and
//! with a few hosts of each other zone ([`MembershipTable`]). Entry hosts exchange views
//! through the aggregators of their zone instead ([`GossipTable`]). The tables of this
//! module decide which hosts to call, which hosts count as live and which targets take
//! new work. They do no I/O.

mod commands;
mod decision;
mod force_view;
mod gossip;
mod gossip_member;
mod host_registry;
mod member;
mod queries;
mod role;
mod rotation;
mod schedule;
mod settings;
mod table;
mod target_watch;
mod watch_queries;

pub use crate::rendezvous::{rendezvous_score, top_ranked};
pub use decision::{MembershipDecision, RemovalCause};
pub use force_view::{ForceView, ZoneForce};
pub use gossip::GossipTable;
pub use gossip_member::GossipMember;
pub use host_registry::{HostRegistry, RegisteredHost, RegistryChange};
pub use member::{HostMember, MemberPhase};
pub use role::{RoleCandidate, aggregator_count, host_weight, rank_hosts};
pub use rotation::RotationReason;
pub use settings::{MembershipSettings, WatchSettings};
pub use table::MembershipTable;
pub use target_watch::{DeclaredTarget, LoadSample, TargetWatch};
