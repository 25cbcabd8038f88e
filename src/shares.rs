//! Division of each organisation's bought capacity over zones and hosts, without
//! coordination per request.
//!
//! There are two levels. The log holds each organisation's split over the availability
//! zones and the hosts that may hold grants in a zone ([`AllotmentLedger`]). Within a
//! zone, the holder of the lease on its shares divides the zone's part over hosts by
//! grants, which travel in replies to heartbeats ([`GrantTable`]). Each host uses no more
//! than its last grant ([`GrantUser`]).
//!
//! Every unit of capacity has exactly one owner at any time: a host, the lease holder of
//! a zone, or the log. A new owner uses it only after the old one has released it, so the
//! sum never exceeds what was bought.

mod division;
mod grant_entry;
mod grant_reply;
mod grant_table;
mod grant_user;
mod ledger;
mod ledger_queries;
mod record;
mod split;
mod units;
mod zone_shares;

pub use division::divide;
pub use grant_table::{GrantSettings, GrantTable, TablePhase};
pub use grant_user::{GrantUser, ShareUsage};
pub use ledger::{AllotmentLedger, AllotmentOutcome};
pub use record::{AllotmentBody, GrantHolder, ReleaseRecord, SplitRecord};
pub use split::even_split;
pub use units::ShareUnits;
pub use zone_shares::{ShareReport, ZoneShares};
