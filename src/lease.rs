//! Leases kept in the log: one daemon at a time may do a named piece of work.
//!
//! The offset of the accepted acquisition is the fencing number. The holder
//! counts its time from before it sent the record; all others count from when
//! they saw it and add a margin for the rates of clocks. So the holder stops
//! before anyone else may begin, however long either was frozen.
//!
//! - [`record`]: what is written to the log;
//! - [`table`]: judges records, alike on every host;
//! - [`machine`]: what one daemon does about one lease.
//!
//! `docs/design/leases.md` tells what was weighed, and the proof.

pub mod machine;
pub mod record;
pub mod table;
