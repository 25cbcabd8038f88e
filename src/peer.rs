//! Calls between the daemons of one system, by Cap'n Proto RPC over TCP.
//!
//! The RPC library is not `Send`, so everything of it runs on one thread of
//! its own. The rest of the daemon talks to that thread by channels, through a
//! [`PeerHandle`]; incoming calls are answered by [`PeerHandlers`].

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
    ClaimOutcome, ClaimQuery, PeerDemand, PeerGrant, PeerHeartbeat, PeerLoad, PeerReply,
    RecordsRequest, RelayedRange, ZoneDigest,
};
pub use settings::PeerSettings;
pub use traffic::PeerTraffic;
pub use view::{
    FollowReply, FollowRequest, FollowedLog, HostListing, HostView, KnownHost, LogAges,
    SeenListing, TargetChange, ZoneCount,
};
