//! Leases kept in the log, each of which lets one daemon at a time do a named piece of
//! work.
//!
//! The fencing number is the offset of the accepted acquisition. The holder counts the
//! duration from before it sent the record. All others count from when they read it and
//! add a margin for different clock rates. So the holder stops before another daemon may
//! begin, however long either was frozen.
//!
//! - [`record`]: records written to the log;
//! - [`table`]: judgement of records, with the same result on every host;
//! - [`machine`]: state of one daemon about one lease.
//!
//! `docs/design/leases.md` has the alternatives that were considered, and the proof.

pub mod machine;
pub mod record;
pub mod table;
