//! The HTTP interfaces towards callers and operators.

pub mod wire;
