//! The daemon: connects the in-memory tables to the network.
//!
//! [`spawn`] opens the clients and listeners and starts the workers. Each worker turns
//! I/O into events for the tables and executes the resulting decisions. `tables` defines
//! the tables and the order in which their locks are taken.

mod activation;
mod admission;
mod callers;
mod changes;
mod checkpoints;
mod claims;
mod core;
mod declarations;
mod force;
mod generate;
mod leases;
mod members;
mod operators;
mod readiness;
mod reconciliation;
mod record_relay;
mod services;
mod shares;
mod spawn;
mod step_observations;
mod tables;
mod tails;
mod targets;

pub use spawn::{DaemonError, DaemonHandle, spawn};
