//! The client side of the platform: its log service and its host list.

pub mod wire;
