//! A complete fleet in one process over loopback: stand-ins and real daemons.
//!
//! Each daemon runs on a tokio runtime of its own, so that it can be killed without
//! warning and its processor time can be measured separately.

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

/// A running fleet. Dropping it stops everything without a graceful shutdown.
pub struct Fleet {
    /// The layout that was started.
    pub layout: FleetLayout,
    /// The platform.
    pub platform: PlatformServer,
    /// Proxies of the zones, through which their hosts reach the platform.
    pub zone_proxies: Vec<ZoneProxy>,
    /// Engines, in the order of the stages.
    pub engines: Vec<FleetEngine>,
    /// Targets of the plain service.
    pub services: Vec<FleetService>,
    /// Host list of the platform at the start.
    pub hosts: HostList,
    /// Daemons of the entry hosts.
    pub daemons: Vec<FleetDaemon>,
}

/// An engine with its position in the fleet.
#[derive(Debug)]
pub struct FleetEngine {
    /// Index of the stage that it serves.
    pub stage: usize,
    /// Declared target.
    pub target: StageTarget,
    /// The stand-in, with its faults and record.
    pub server: EngineServer,
}

/// A target of the plain service with its position in the fleet.
#[derive(Debug)]
pub struct FleetService {
    /// Name of the target.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// The stand-in, with its faults and record.
    pub server: ServiceServer,
}
