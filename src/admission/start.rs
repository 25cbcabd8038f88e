//! Decides which requests of a service whose routes have different priorities start, wait
//! or are refused.
//!
//! A rank is the priority of the organisation first and that of the route second. Among
//! organisations of one priority, the most urgent rank starts whenever a path has room. A less urgent rank starts while
//! the expected first event of its path is well within the objective of the ranks above
//! it, and while headroom for their demand stays free. [`RankFloors`] keeps any rank from
//! being refused altogether, and [`StartQueue`] orders the requests that wait.

mod decision;
mod fairness;
mod floor;
mod queue;
mod ranks;
mod table;

pub use decision::{
    HoldReason, PathOutlook, StartContext, StartDecision, StartRequest, StartVerdict, decide,
};
pub use fairness::{exceeds_fair_share, fair_next};
pub use floor::RankFloors;
pub use queue::{MAX_WAITING, StartQueue, WaitTicket, WaitingRequest};
pub use ranks::{RankObjective, ServiceRanks, current_priority};
pub use table::StartTable;
