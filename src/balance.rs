//! The share of each availability zone's requests that goes to other zones while the
//! zones' utilisation differs. Pure: the present time and the random draw are arguments.

mod flows;
mod table;

pub use flows::{ZoneFlow, target_flows};
pub use table::{BalanceEvent, BalanceTable};
