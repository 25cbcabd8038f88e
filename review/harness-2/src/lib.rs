//! Stand-ins of the second review: the platform's store, servers of a plain service and clients,
//! as the users' pages describe them, and what starts the program under test.

pub mod engine;
pub mod hosts;
pub mod http;
pub mod load;
pub mod record;
pub mod store;
