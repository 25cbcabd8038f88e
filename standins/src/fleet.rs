//! A whole fleet in one process over loopback: stand-ins and real daemons.
//!
//! Each daemon runs on a tokio runtime of its own, so that it can be killed
//! without warning and its processor time can be told apart.

mod daemon;
mod layout;
mod operations;
mod start;
mod zone_proxy;

pub use daemon::FleetDaemon;
pub use layout::{
    EnginePlan, FleetLayout, OrganisationPlan, PREFILL_PER_STEP, ServicePlan, StagePlan, ZonePlan,
};
pub use zone_proxy::ZoneProxy;

use jackdawwick::platform::wire::HostList;

use crate::declarations::StageTarget;
use crate::engine::EngineServer;
use crate::platform::PlatformServer;
use crate::service::ServiceServer;

/// A running fleet; dropping it stops everything without warning.
pub struct Fleet {
    /// What was started.
    pub layout: FleetLayout,
    /// The platform.
    pub platform: PlatformServer,
    /// Each zone's way to the platform.
    pub zone_proxies: Vec<ZoneProxy>,
    /// Engines, stage after stage.
    pub engines: Vec<FleetEngine>,
    /// Targets of the plain service.
    pub services: Vec<FleetService>,
    /// The platform's host list as it was at the start.
    pub hosts: HostList,
    /// Daemons of the entry hosts.
    pub daemons: Vec<FleetDaemon>,
}

/// An engine with its place in the fleet.
#[derive(Debug)]
pub struct FleetEngine {
    /// Stage that it serves.
    pub stage: usize,
    /// The target as it is declared.
    pub target: StageTarget,
    /// The stand-in, with its faults and record.
    pub server: EngineServer,
}

/// A target of the plain service with its place in the fleet.
#[derive(Debug)]
pub struct FleetService {
    /// Name of the target.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// The stand-in, with its faults and record.
    pub server: ServiceServer,
}
