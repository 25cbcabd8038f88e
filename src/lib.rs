//! Jackdawwick routes requests over pipelines of mixed accelerators.
//!
//! Skeleton: the flow from start to stop is told here as the parts land.

pub mod admission;
pub mod api;
pub mod collections;
pub mod ids;
pub mod membership;
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
pub mod platform;
pub mod reason;
pub mod records;
pub mod resources;
pub mod routing;
pub mod run;
pub mod shares;
pub mod target;
pub mod verdict;
