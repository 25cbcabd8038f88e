//! Starts daemons in front of small stand-ins, with counting proxies in between.

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use jackdawwick::api::wire::StatusView;
use jackdawwick::ids::LogOffset;
use jackdawwick::platform::client::{PlatformClient, PlatformTimeouts};
use jackdawwick::platform::wire::{HostList, ListedHost, ListedPhase, ListedTarget};
use jackdawwick::records::DECLARATION_STREAM;

use super::SlopeShape;
use super::counting_proxy::{CountingProxy, WireCounts};
use super::decisions::record_text;
use crate::daemon_settings::{DaemonConfig, SeedPeer};
use crate::declarations::{self, StageLayout, StageTarget, VERSION};
use crate::engine::{EngineServer, EngineSettings};
use crate::fleet::FleetDaemon;
use crate::json_client::CallError;
use crate::operator::{self, Declaration};
use crate::platform::{PlatformServer, PlatformSettings};

/// Maximum wait until the declarations are applied.
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running fleet with the counted traffic.
pub(super) struct SlopeFleet {
    pub(super) platform: PlatformServer,
    pub(super) counts: WireCounts,
    pub(super) daemons: Vec<FleetDaemon>,
    _engines: Vec<EngineServer>,
    _proxies: Vec<CountingProxy>,
}

impl SlopeFleet {
    /// Starts the stand-ins and the daemons, and declares all resources.
    pub(super) async fn start(shape: &SlopeShape) -> Result<Self, CallError> {
        let counts = WireCounts::default();
        let mut proxies = Vec::new();
        let mut engines = Vec::new();
        let mut declared: Vec<Declaration> = (0..shape.organisations)
            .map(|number| organisation(number, 1))
            .collect();
        let mut listed = Vec::new();
        for model in 0..shape.models {
            let name = format!("model-{model}");
            let settings = EngineSettings::new(&name, VERSION, 1, 0, 0);
            let engine = EngineServer::bind(any_port(), settings).await?;
            let mut targets = Vec::new();
            for number in (model..shape.targets).step_by(shape.models) {
                let proxy = CountingProxy::bind(engine.local_addr(), &counts).await?;
                targets.push(StageTarget {
                    name: format!("engine-{number}"),
                    zone: zone_name(shape.zone_of_target(number)).as_str().into(),
                    address: proxy.local_addr,
                    tokens_per_second: 1_000.0,
                    concurrency: 16,
                });
                proxies.push(proxy);
            }
            listed.extend(targets.iter().map(|target| ListedTarget {
                target: target.name.as_str().into(),
                phase: ListedPhase::Live,
            }));
            let stage = StageLayout {
                first_layer: 0,
                last_layer: 0,
                targets,
            };
            declared.extend(declarations::pipeline(&name, &[stage]));
            engines.push(engine);
        }
        let mut fleet = Self {
            platform: PlatformServer::bind(any_port(), PlatformSettings::default()).await?,
            counts,
            daemons: Vec::new(),
            _engines: engines,
            _proxies: proxies,
        };
        fleet.start_daemons(shape, listed).await?;
        fleet.declare(&declared).await?;
        Ok(fleet)
    }

    /// Appends the declarations in one batch, as declaring them one by one would take
    /// long, and waits until they are applied.
    async fn declare(&self, declared: &[Declaration]) -> Result<(), CallError> {
        let numbered = (0..).zip(declared);
        let records: Result<Vec<String>, CallError> = numbered
            .map(|(number, declaration)| record_text(number, declaration))
            .collect();
        let timeouts = PlatformTimeouts {
            connect: PLATFORM_TIMEOUT,
            response: PLATFORM_TIMEOUT,
        };
        let client = PlatformClient::open(self.platform.local_addr(), timeouts);
        let appended = client.append(DECLARATION_STREAM, records?).await?;
        let last = appended.first_offset + declared.len() as LogOffset - 1;
        self.wait_until_applied(last).await
    }

    async fn start_daemons(
        &mut self,
        shape: &SlopeShape,
        targets: Vec<ListedTarget>,
    ) -> Result<(), CallError> {
        let platform = CountingProxy::bind(self.platform.local_addr(), &self.counts).await?;
        let mut listeners = Vec::new();
        let mut seeds = Vec::new();
        for number in 0..shape.daemons() {
            let listener = TcpListener::bind(peer_address())?;
            let proxy = CountingProxy::bind(listener.local_addr()?, &self.counts).await?;
            seeds.push(SeedPeer {
                host: format!("host-{number}"),
                zone: zone_name(shape.zone_of_host(number)),
                address: proxy.local_addr,
            });
            self._proxies.push(proxy);
            listeners.push(listener);
        }
        let hosts = seeds.iter().map(listed_host).collect();
        self.platform.set_hosts(HostList { hosts, targets });
        for (listener, seed) in listeners.into_iter().zip(&seeds) {
            let config = DaemonConfig {
                host: seed.host.clone(),
                zone: seed.zone.clone(),
                platform: platform.local_addr,
                peers: listener.local_addr()?,
                seeds: seeds.clone(),
            };
            drop(listener);
            let advertised = format!("[listen]\nadvertised_peers = \"{}\"\n", seed.address);
            let text = config.to_toml("\n[log]\nlevel = \"off\"\n");
            let text = text.replacen("[listen]\n", &advertised, 1);
            self.daemons.push(FleetDaemon::spawn(&text).await?);
        }
        self._proxies.push(platform);
        Ok(())
    }

    pub(super) async fn wait_until_applied(&self, version: LogOffset) -> Result<(), CallError> {
        let deadline = Instant::now() + APPLY_TIMEOUT;
        for daemon in &self.daemons {
            loop {
                let status = operator::read::<StatusView>(daemon.operators, "/v1/status").await;
                match status {
                    Ok(status) if status.ready && status.applied > version => break,
                    _ if Instant::now() > deadline => {
                        return Err(format!("change not applied on {}", daemon.host).into());
                    }
                    _ => tokio::time::sleep(POLL_INTERVAL).await,
                }
            }
        }
        Ok(())
    }

    pub(super) async fn shutdown(&mut self) {
        for daemon in &mut self.daemons {
            daemon.shutdown().await;
        }
    }
}

/// Creates the declaration of an organisation; `rate` makes consecutive changes of it
/// differ.
pub(super) fn organisation(number: usize, rate: u32) -> Declaration {
    declarations::organisation(&format!("organisation-{number}"), 1_000, 100_000 + rate)
}

pub(super) fn zone_name(number: usize) -> String {
    format!("zone-{number}")
}

fn listed_host(seed: &SeedPeer) -> ListedHost {
    ListedHost {
        host: seed.host.as_str().into(),
        zone: seed.zone.as_str().into(),
        peer_address: seed.address.to_string(),
        phase: ListedPhase::Live,
    }
}

pub(super) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a loopback address from which no connection goes out: a free port found there
/// stays free until its daemon listens.
fn peer_address() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, high, low, 2], 0))
}
