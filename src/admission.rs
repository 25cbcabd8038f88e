//! Limits, queues and giving up, per organisation.

mod ticket;

pub use ticket::{AdmissionDecision, AdmissionRequest, ShareLimit};
