//! Layouts of fleets, among them those of two user organisations.

use std::time::Duration;

use jackdawwick::ids::LayerIndex;

/// Prompt inputs that an engine processes in the time of one decode step.
pub const PREFILL_PER_STEP: u32 = 64;

/// Step times of the engines of a stage, used in rotation: mixed accelerators.
///
/// None is below 12 ms, as tokio's timers round up to whole milliseconds.
const STEP_TIMES_MS: [u64; 5] = [12, 16, 24, 32, 48];
/// Steps that an engine runs at the same time.
const ENGINE_CONCURRENCY: usize = 4;
/// Engines per stage in both layouts.
const STAGE_ENGINES: usize = 10;
/// Layers per stage in both layouts.
const STAGE_LAYERS: LayerIndex = 4;
/// Stages of the pipeline in both layouts.
const STAGES: LayerIndex = 3;
/// Units of capacity bought by each of the ten organisations.
const CAPACITY_UNITS: [u32; 10] = [8, 8, 8, 2, 2, 2, 2, 2, 2, 2];
/// Requests per second in one unit of capacity.
const UNIT_RATE: u32 = 6;
/// Concurrent requests in one unit of capacity.
const UNIT_CONCURRENCY: u32 = 16;

/// Components of a fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetLayout {
    /// Name of the layout.
    pub name: String,
    /// Availability zones with their entry hosts.
    pub zones: Vec<ZonePlan>,
    /// Model that the only pipeline serves.
    pub model: String,
    /// Stages of the pipeline.
    pub stages: Vec<StagePlan>,
    /// The plain service.
    pub service: ServicePlan,
    /// Organisations that buy capacity.
    pub organisations: Vec<OrganisationPlan>,
    /// Delay of the responses of every target, in milliseconds.
    ///
    /// Over loopback a target cannot determine the zone of its caller, and the shortest
    /// delay of the stand-ins is 1 ms. So each call is delayed as if it crossed zones:
    /// 0.5 ms each way.
    pub link_delay_ms: u64,
    /// Routing policy of all daemons.
    pub policy: String,
    /// Seed of the random numbers of the daemons.
    pub seed: u64,
    /// Sections that are appended to the settings of the daemons.
    pub extra_settings: String,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZonePlan {
    /// Name.
    pub name: String,
    /// Number of entry hosts.
    pub entry_hosts: usize,
}

/// A stage of the pipeline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StagePlan {
    /// First layer, inclusive.
    pub first_layer: LayerIndex,
    /// Last layer, inclusive.
    pub last_layer: LayerIndex,
    /// Engines that hold the stage.
    pub engines: Vec<EnginePlan>,
}

/// One engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EnginePlan {
    /// Availability zone.
    pub zone: String,
    /// Time of one decode step.
    pub step_time: Duration,
    /// Steps that run at the same time.
    pub concurrency: usize,
}

impl EnginePlan {
    /// Returns the tokens per second when decode steps saturate the engine.
    pub fn tokens_per_second(&self) -> f64 {
        self.concurrency as f64 / self.step_time.as_secs_f64()
    }
}

/// The plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePlan {
    /// Name.
    pub name: String,
    /// Availability zone of each target.
    pub zones: Vec<String>,
    /// Time of one call.
    pub call_time: Duration,
    /// An idempotent operation.
    pub plain_operation: String,
    /// A non-idempotent operation.
    pub non_idempotent: String,
}

/// An organisation with its capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationPlan {
    /// Name.
    pub name: String,
    /// Concurrent requests.
    pub concurrent_requests: u32,
    /// Requests per second.
    pub requests_per_second: u32,
}

impl FleetLayout {
    /// Returns the layout of the franchise office.
    pub fn franchise() -> Self {
        let zones = ["vake", "saburtalo", "didube"];
        let service = ServicePlan {
            name: "ledger".to_owned(),
            zones: zones.map(str::to_owned).to_vec(),
            call_time: Duration::from_millis(5),
            plain_operation: "balance".to_owned(),
            non_idempotent: "settle".to_owned(),
        };
        Self::three_zones("franchise", zones, "receipt-reader", service)
    }

    /// Returns the layout of Atlas.
    pub fn atlas() -> Self {
        let zones = ["anfa", "maarif", "sidi"];
        let service = ServicePlan {
            name: "artifacts".to_owned(),
            zones: zones.map(str::to_owned).to_vec(),
            call_time: Duration::from_millis(20),
            plain_operation: "download".to_owned(),
            non_idempotent: "queue-migration".to_owned(),
        };
        Self::three_zones("atlas", zones, "drafter", service)
    }

    fn three_zones(name: &str, zones: [&str; 3], model: &str, service: ServicePlan) -> Self {
        let entry_hosts = [3, 3, 2];
        let zone_plans = zones.iter().zip(entry_hosts);
        Self {
            name: name.to_owned(),
            zones: zone_plans
                .map(|(zone, entry_hosts)| ZonePlan {
                    name: (*zone).to_owned(),
                    entry_hosts,
                })
                .collect(),
            model: model.to_owned(),
            stages: (0..STAGES).map(|stage| stage_plan(stage, &zones)).collect(),
            service,
            organisations: (1..).zip(CAPACITY_UNITS).map(organisation_plan).collect(),
            link_delay_ms: 1,
            policy: "estimate".to_owned(),
            seed: 1,
            extra_settings: String::new(),
        }
    }

    /// Returns the number of layers of the model.
    pub fn layers(&self) -> LayerIndex {
        self.stages.last().map_or(0, |stage| stage.last_layer + 1)
    }
}

fn stage_plan(stage: LayerIndex, zones: &[&str]) -> StagePlan {
    let engine = |index: usize| {
        let speed = (index + stage as usize) % STEP_TIMES_MS.len();
        EnginePlan {
            zone: zones[index % zones.len()].to_owned(),
            step_time: Duration::from_millis(STEP_TIMES_MS[speed]),
            concurrency: ENGINE_CONCURRENCY,
        }
    };
    StagePlan {
        first_layer: stage * STAGE_LAYERS,
        last_layer: (stage + 1) * STAGE_LAYERS - 1,
        engines: (0..STAGE_ENGINES).map(engine).collect(),
    }
}

fn organisation_plan((number, units): (u32, u32)) -> OrganisationPlan {
    OrganisationPlan {
        name: format!("organisation-{number}"),
        concurrent_requests: units * UNIT_CONCURRENCY,
        requests_per_second: units * UNIT_RATE,
    }
}
