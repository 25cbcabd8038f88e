//! Division of the capacity that each organisation bought, with no agreement
//! for each request.
//!
//! Two levels. The log holds each organisation's split over the availability
//! zones and who may hold grants in a zone ([`AllotmentLedger`]). Within a
//! zone the holder of the lease on its shares divides the zone's part over
//! hosts by grants that travel in answers to heartbeats ([`GrantTable`]), and
//! each host keeps to its last grant ([`GrantUser`]).
//!
//! Every unit of capacity is at one place at any time: with a host, with a
//! zone's holder, or with the log. It is used at the new place only after the
//! old place has given it up, so the sum never exceeds what was bought.

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
