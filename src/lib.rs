//! Jackdawwick routes requests through pipelines of mixed accelerators.
//!
//! The life of a daemon from start to stop:
//!
//! 1. [`options`] parses the command line and the settings file into one validated
//!    struct; [`logging`] starts.
//! 2. [`daemon`] opens the clients of the [`platform`], of [`target`]s and of [`peer`]s,
//!    builds the tables and starts the workers.
//! 3. [`replay`] turns the platform's log into declared [`resources`]; until it has caught
//!    up, the daemon accepts no work.
//! 4. [`api`] receives a request: [`auth`] finds its organisation, [`admission`] starts,
//!    queues or refuses it, [`routing`] selects one target per stage, and [`run`] executes
//!    the stages and recovers from failures. A non-idempotent request is first claimed in
//!    the log ([`claims`]).
//! 5. Meanwhile [`membership`] keeps track of the other entry hosts, [`retry`] ejects
//!    failing targets, and [`reconcile`] orders targets to hold what is declared.
//! 6. [`journal`] and [`metrics`] record the decisions and their reasons.
//! 7. On SIGTERM the daemon stops accepting work, finishes the requests in flight and
//!    releases what it holds.
//!
//! Tables make decisions and take the current time as an argument; only [`daemon`] and the
//! clients do I/O. [`cli`] is the operators' command line.

pub mod admission;
pub mod api;
pub mod auth;
pub mod balance;
pub mod buffer;
pub mod capacity;
pub mod claims;
pub mod cli;
pub mod collections;
pub mod daemon;
pub mod drain;
pub mod entry;
pub mod fleet;
pub mod forward;
pub mod gateway;
pub mod ids;
pub mod ingress;
pub mod journal;
pub mod lease;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod options;
pub mod peer;
#[allow(
    missing_docs,
    unused_qualifications,
    unreachable_pub,
    clippy::all,
    clippy::redundant_clone,
    clippy::unimplemented,
    clippy::unwrap_used,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned
)]
#[rustfmt::skip]
pub mod peer_capnp;
pub mod delta_sync;
pub mod permits;
pub mod placement;
pub mod platform;
pub mod poison;
pub mod reachability;
pub mod reason;
pub mod reconcile;
pub mod records;
pub mod rendezvous;
pub mod replay;
pub mod resources;
pub mod retry;
pub mod routing;
pub mod run;
pub mod shares;
pub mod silence;
pub mod target;
pub mod verdict;
