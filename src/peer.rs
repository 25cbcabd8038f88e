//! RPC between the daemons of one system: Cap'n Proto over TCP.
//!
//! The types of the RPC library are not `Send`, so they all live on one dedicated thread.
//! The rest of the daemon sends commands to that thread over a channel, through a
//! [`PeerHandle`]; [`PeerHandlers`] serve incoming calls.

mod convert;
mod error;
mod handle;
mod handlers;
mod link;
mod link_table;
mod message;
mod server;
mod settings;
mod stream;
mod traffic;
mod view;
mod worker;

pub use error::PeerError;
pub use handle::{PeerHandle, spawn, spawn_on};
pub use handlers::{EntryHandlers, PeerHandlers, ServedCalls};
pub use message::{
    ClaimQuery, ClaimQueryReply, PeerDemand, PeerGrant, PeerHeartbeat, PeerLoad, PeerReply,
    RecordsRequest, RelayedRange, ZoneDigest,
};
pub use settings::PeerSettings;
pub use traffic::PeerTraffic;
pub use view::{
    FollowReply, FollowRequest, FollowedLog, HostListing, HostView, KnownHost, LogAges,
    SeenListing, TargetChange, ZoneCount,
};
