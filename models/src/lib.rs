//! Models of the fleet in memory, which play the tables of the entry hosts with a simulated clock
//! and without a network.

pub mod fleet;
pub mod retry;
