//! A model of engines that hold layer ranges and hand requests on along a
//! path: passes, strides, reading in chunks, memory and preemption, links and
//! pipes, stalls and orders. No network and no clock: time is an argument.
//!
//! The experiment tool ([`crate::trial`]) runs it as fast as it goes. Stand-in
//! engines behind HTTP are to run it in real time; they do not yet.

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
