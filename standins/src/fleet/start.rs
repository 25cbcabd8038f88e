//! Starts a fleet.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use jackdawwick::platform::wire::{HostList, ListedHost, ListedPhase, ListedTarget};

use super::daemon::FleetDaemon;
use super::layout::{FleetLayout, PREFILL_PER_STEP, StagePlan};
use super::{Fleet, FleetEngine, FleetService, ZoneProxy};
use crate::daemon_settings::{DaemonConfig, SeedPeer};
use crate::declarations::{self, StageLayout, StageTarget, VERSION};
use crate::engine::{EngineServer, EngineSettings};
use crate::json_client::CallError;
use crate::operator::Declaration;
use crate::platform::{PlatformServer, PlatformSettings};
use crate::service::{ServiceServer, ServiceSettings};

/// Calls of the plain service that one target runs at once.
const SERVICE_CONCURRENCY: usize = 16;

impl Fleet {
    /// Starts the stand-ins and the daemons, declares all resources and waits until they
    /// are applied.
    ///
    /// # Errors
    /// If a component cannot be started, or a resource cannot be declared or is not
    /// applied in time.
    pub async fn start(layout: FleetLayout) -> Result<Self, CallError> {
        let seed_peers = allocate_peers(&layout)?;
        let mut engines = Vec::new();
        for (index, stage) in layout.stages.iter().enumerate() {
            engines.extend(start_stage(&layout, index, stage).await?);
        }
        let services = start_services(&layout).await?;
        let hosts = host_list(&seed_peers, &engines, &services);
        let settings = PlatformSettings {
            hosts: hosts.clone(),
            ..PlatformSettings::default()
        };
        let platform = PlatformServer::bind(any_port(), settings).await?;
        let mut zone_proxies = Vec::new();
        for zone in &layout.zones {
            zone_proxies.push(ZoneProxy::bind(&zone.name, platform.local_addr()).await?);
        }
        let mut fleet = Self {
            layout,
            platform,
            zone_proxies,
            engines,
            services,
            hosts,
            daemons: Vec::new(),
        };
        fleet.start_daemons(&seed_peers).await?;
        let version = fleet.declare(&fleet.declarations()).await?;
        fleet.wait_until_applied(version).await?;
        Ok(fleet)
    }

    async fn start_daemons(&mut self, seed_peers: &[SeedPeer]) -> Result<(), CallError> {
        for (seed, peer) in (self.layout.seed..).zip(seed_peers) {
            let settings = DaemonConfig {
                host: peer.host.clone(),
                zone: peer.zone.clone(),
                platform: self.platform_for(&peer.zone),
                peers: peer.address,
                seeds: seed_peers.to_vec(),
            };
            let extra = format!(
                "\n[routing]\npolicy = \"{}\"\n\n[log]\nlevel = \"off\"\n{}",
                self.layout.policy, self.layout.extra_settings
            );
            let text = settings.to_toml(&extra).replacen(
                "[host]\n",
                &format!("[host]\nseed = {seed}\n"),
                1,
            );
            self.daemons.push(FleetDaemon::spawn(&text).await?);
        }
        Ok(())
    }

    fn platform_for(&self, zone: &str) -> SocketAddr {
        let proxy = self.zone_proxies.iter().find(|proxy| proxy.zone == zone);
        proxy.map_or(self.platform.local_addr(), ZoneProxy::local_addr)
    }

    /// Returns all declarations of the fleet.
    pub fn declarations(&self) -> Vec<Declaration> {
        let layout = &self.layout;
        let stages = (0..).zip(&layout.stages);
        let stages: Vec<StageLayout> = stages
            .map(|(index, stage)| self.stage_layout(index, stage))
            .collect();
        let mut declarations = declarations::pipeline(&layout.model, &stages);
        let targets: Vec<StageTarget> = self.services.iter().map(service_target).collect();
        declarations.extend(declarations::service(
            &layout.service.name,
            &targets,
            &[&layout.service.non_idempotent],
        ));
        declarations.extend(layout.organisations.iter().map(|organisation| {
            declarations::organisation(
                &organisation.name,
                organisation.concurrent_requests,
                organisation.requests_per_second,
            )
        }));
        declarations
    }

    fn stage_layout(&self, index: usize, stage: &StagePlan) -> StageLayout {
        let engines = self.engines.iter().filter(|engine| engine.stage == index);
        StageLayout {
            first_layer: stage.first_layer,
            last_layer: stage.last_layer,
            targets: engines.map(|engine| engine.target.clone()).collect(),
        }
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Index of the next fleet of this process. Each fleet gets an address of its own.
static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);
/// Number of values for the last octet of loopback addresses, from 2 on.
const LAST_OCTETS: u32 = 250;

/// Returns a loopback address that only the peers of one fleet use: two fleets of one
/// process would otherwise find the same free port.
///
/// An outgoing connection may take a free port of 127.0.0.1 between its discovery and the
/// start of the daemon, which then fails with "address in use". Connections go out from
/// 127.0.0.1 only, so the port stays free on any other loopback address.
fn fleet_peer_address() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed) % LAST_OCTETS;
    // An offset of 2 avoids 127.0.0.1 itself.
    let [.., last] = (number + 2).to_be_bytes();
    SocketAddr::from(([127, high, low, last], 0))
}

/// Names the entry hosts and finds a free port for the peers of each one.
fn allocate_peers(layout: &FleetLayout) -> Result<Vec<SeedPeer>, CallError> {
    let hosts = layout.zones.iter().flat_map(|zone| {
        (1..=zone.entry_hosts).map(|number| (format!("{}-{number}", zone.name), zone.name.clone()))
    });
    // All listeners stay open until the last is bound, so that no port is found twice.
    let base_address = fleet_peer_address();
    let mut listeners = Vec::new();
    let mut seed_peers = Vec::new();
    for (host, zone) in hosts {
        let listener = TcpListener::bind(base_address)?;
        let address = listener.local_addr()?;
        listeners.push(listener);
        seed_peers.push(SeedPeer {
            host,
            zone,
            address,
        });
    }
    Ok(seed_peers)
}

fn host_list(
    seed_peers: &[SeedPeer],
    engines: &[FleetEngine],
    services: &[FleetService],
) -> HostList {
    let host = |peer: &SeedPeer| ListedHost {
        host: peer.host.as_str().into(),
        zone: peer.zone.as_str().into(),
        peer_address: peer.address.to_string(),
        phase: ListedPhase::Live,
    };
    let names = engines
        .iter()
        .map(|engine| &engine.target.name)
        .chain(services.iter().map(|service| &service.name));
    HostList {
        hosts: seed_peers.iter().map(host).collect(),
        targets: names
            .map(|name| ListedTarget {
                target: name.as_str().into(),
                phase: ListedPhase::Live,
            })
            .collect(),
    }
}

async fn start_stage(
    layout: &FleetLayout,
    index: usize,
    stage: &StagePlan,
) -> Result<Vec<FleetEngine>, CallError> {
    let mut engines = Vec::new();
    for (number, plan) in stage.engines.iter().enumerate() {
        let name = format!("engine-{index}-{number}");
        let settings = EngineSettings {
            name: name.clone(),
            concurrency: plan.concurrency,
            step_time: plan.step_time,
            prefill_time_per_token: plan.step_time / PREFILL_PER_STEP,
            ..EngineSettings::new(
                &layout.model,
                VERSION,
                layout.layers(),
                stage.first_layer,
                stage.last_layer,
            )
        };
        let server = EngineServer::bind(any_port(), settings).await?;
        let link_delay_ms = layout.link_delay_ms;
        server
            .faults()
            .update(|faults| faults.link_delay_ms = link_delay_ms);
        engines.push(FleetEngine {
            stage: index,
            target: StageTarget {
                name,
                zone: plan.zone.as_str().into(),
                address: server.local_addr(),
                tokens_per_second: plan.tokens_per_second(),
                concurrency: plan.concurrency as u32,
            },
            server,
        });
    }
    Ok(engines)
}

async fn start_services(layout: &FleetLayout) -> Result<Vec<FleetService>, CallError> {
    let mut services = Vec::new();
    for (number, zone) in layout.service.zones.iter().enumerate() {
        let name = format!("{}-{number}", layout.service.name);
        let settings = ServiceSettings {
            name: name.clone(),
            call_time: layout.service.call_time,
            concurrency: SERVICE_CONCURRENCY,
            ..ServiceSettings::default()
        };
        let server = ServiceServer::bind(any_port(), settings).await?;
        services.push(FleetService {
            name,
            zone: zone.clone(),
            server,
        });
    }
    Ok(services)
}

fn service_target(service: &FleetService) -> StageTarget {
    StageTarget {
        name: service.name.clone(),
        zone: service.zone.as_str().into(),
        address: service.server.local_addr(),
        tokens_per_second: 1_000.0,
        concurrency: SERVICE_CONCURRENCY as u32,
    }
}
