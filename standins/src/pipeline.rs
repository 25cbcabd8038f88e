//! A simulation of engines that hold layer ranges and forward requests along a path:
//! passes, strides, chunked prefill, memory and preemption, links within and between
//! zones, stalls and orders. It uses no network and no clock: time is an argument.
//!
//! The trial tool ([`crate::trial`]) runs it as fast as possible. The stand-in engines
//! behind HTTP do not use it.

mod engine;
mod intake;
mod memory;
mod passes;
mod request;
mod settings;
mod simulation;

pub use engine::EngineIndex;
pub use request::{PathPart, RequestSettings};
pub use settings::SimulationSettings;
pub use simulation::{EngineStatus, PipelineSimulation, SimulationEvent, SubmitError};
