//! Memory for the bytes that peers send.
//!
//! Bodies of requests and of responses are read into blocks that take their memory from a
//! [`BufferBudget`] as the bytes arrive, and return it when the last reader drops them.
//! [`BufferTable`] decides who gets memory and who has to give it back, and
//! [`BufferPlan`] divides the memory and the descriptors of a host.

mod blocks;
mod budget;
mod collect;
mod plan;
mod table;

pub use blocks::BodyBlocks;
pub use budget::{BufferBudget, BufferDenied, BufferLease};
pub use collect::{CollectError, collect_body, collect_limited};
pub use plan::BufferPlan;
pub use table::{BufferTable, GrowDecision, HolderId, SMALL_BYTES};
