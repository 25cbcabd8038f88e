//! Entry hosts in the process of the test, behind links that can be cut, and a detector
//! of hosts that revert to an older configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use jackdawwick::api::wire::{AcceptedBody, ResourceView, StatusView};
use jackdawwick::daemon::{self, DaemonHandle};
use jackdawwick::ids::LogOffset;
use jackdawwick::options::DaemonOptions;
use jackdawwick::resources::ResourceKey;
use parking_lot::Mutex;
use standins::daemon_settings::{DaemonConfig, SeedPeer};
use standins::declarations;
use standins::operator::{self, Declaration};
use tokio::task::JoinHandle;

use super::forwarder::TestLink;
use super::{TestError, TestResult, eventually};

/// An entry host whose peers reach it through a link.
pub struct TestHost {
    pub name: String,
    pub zone: String,
    pub operators: SocketAddr,
    pub callers: SocketAddr,
    pub peer_link: TestLink,
    handle: DaemonHandle,
}

impl TestHost {
    /// Starts a host that knows `seeds` and reads the log at `platform`.
    pub async fn start(
        name: &str,
        zone: &str,
        platform: SocketAddr,
        seeds: &[&TestHost],
    ) -> Result<Self, TestError> {
        Self::start_with(name, zone, platform, seeds, "").await
    }

    /// Starts a host like [`Self::start`], with additional lines for the section
    /// `timing`.
    pub async fn start_with(
        name: &str,
        zone: &str,
        platform: SocketAddr,
        seeds: &[&TestHost],
        timing: &str,
    ) -> Result<Self, TestError> {
        let peer_link = TestLink::bind().await?;
        let seeds = seeds.iter().map(|seed| SeedPeer {
            host: seed.name.clone(),
            zone: seed.zone.clone(),
            address: seed.peer_link.address,
        });
        let seen_key = DaemonConfig {
            seeds: seeds.collect(),
            ..DaemonConfig::new(name, zone, platform)
        };
        let second = standins::caller::token_of("operator-2");
        let digest = jackdawwick::auth::TokenDigest::of_token(&second).to_hex();
        let extra = format!(
            "\n[[operators.credentials]]\noperator = \"operator-2\"\ntoken_digest = \"{digest}\"\n\
             \n[timing]\nheartbeat_interval = \"100ms\"\n{timing}\n"
        );
        let listen = format!("[listen]\nadvertised_peers = \"{}\"\n", peer_link.address);
        let text = seen_key
            .to_toml(&extra)
            .replacen("[listen]\n", &listen, 1)
            .replacen("[platform]\n", "[platform]\ncheckpoint_records = 10\n", 1);
        let handle = daemon::spawn(DaemonOptions::from_toml(&text)?).await?;
        peer_link.forward_to(handle.peer_address().ok_or("no address for peers")?);
        Ok(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            operators: handle.operator_address(),
            callers: handle.caller_address(),
            peer_link,
            handle,
        })
    }

    pub async fn shutdown(self) {
        self.handle.shutdown().await;
    }

    pub async fn status(&self) -> Option<StatusView> {
        operator::read(self.operators, "/v1/status").await.ok()
    }

    pub async fn is_ready(&self) -> bool {
        self.status().await.is_some_and(|status| status.ready)
    }

    /// Returns the version of a resource, or `None` if it is not declared on this host.
    pub async fn version(&self, key: &ResourceKey) -> Option<LogOffset> {
        let view = operator::read::<ResourceView>(self.operators, &operator::path_of(key)).await;
        view.ok().map(|view| view.version)
    }

    /// Declares an organisation with a capacity and returns the version of the
    /// declaration.
    pub async fn declare(&self, name: &str, capacity: u32) -> Result<LogOffset, TestError> {
        operator::declare_all(self.operators, &[organisation(name, capacity)]).await
    }

    /// Waits until the host is ready and has this version of a resource.
    pub async fn wait_until_serving(&self, key: &ResourceKey, version: LogOffset) -> TestResult {
        let what = format!("{} serves {key} as of {version}", self.name);
        eventually(&what, || async {
            self.is_ready().await && self.version(key).await == Some(version)
        })
        .await
    }
}

pub fn organisation(name: &str, capacity: u32) -> Declaration {
    declarations::organisation(name, capacity, capacity)
}

pub fn accepted(reply: &standins::json_client::JsonResponse) -> Result<LogOffset, TestError> {
    match reply.status {
        StatusCode::OK => Ok(reply.json::<AcceptedBody>()?.version),
        status => Err(format!("{status}: {:?}", reply.body).into()),
    }
}

/// Versions that were in effect everywhere, and versions that the hosts served since.
#[derive(Default)]
struct DetectorState {
    /// Latest change that was in effect everywhere, and whether it was a deletion.
    minimums: BTreeMap<ResourceKey, (LogOffset, bool)>,
    hosts: Vec<(String, SocketAddr)>,
    /// Last version seen, by host and resource.
    seen: BTreeMap<(String, ResourceKey), LogOffset>,
    polls: usize,
    reverted: Vec<String>,
}

/// Polls all hosts. A ready host must not serve an older version of a resource than
/// before, or than the one that was in effect everywhere, and must not serve a deleted
/// resource.
pub struct ReversionDetector {
    state: Arc<Mutex<DetectorState>>,
    task: JoinHandle<()>,
}

impl ReversionDetector {
    pub fn spawn() -> Self {
        let state = Arc::new(Mutex::new(DetectorState::default()));
        let task = tokio::spawn(watch(Arc::clone(&state)));
        Self { state, task }
    }

    pub fn add(&self, host: &TestHost) {
        let mut state = self.state.lock();
        state.hosts.push((host.name.clone(), host.operators));
    }

    /// Records a change that is in effect everywhere, as the minimum for all hosts.
    pub fn set_minimum(&self, key: &ResourceKey, version: LogOffset, deleted: bool) {
        let mut state = self.state.lock();
        state.minimums.insert(key.clone(), (version, deleted));
    }

    /// Stops the polling. Fails if a host reverted a change, or after fewer than 10
    /// polls.
    pub fn finish(self) -> TestResult {
        self.task.abort();
        let state = self.state.lock();
        match &state.reverted[..] {
            [] if state.polls >= 10 => Ok(()),
            [] => Err(format!("only {} polls", state.polls).into()),
            reverted => Err(format!("reverted: {reverted:?}").into()),
        }
    }
}

async fn watch(state: Arc<Mutex<DetectorState>>) {
    loop {
        let hosts = state.lock().hosts.clone();
        for (host, address) in hosts {
            let minimums = state.lock().minimums.clone();
            let status = operator::read::<StatusView>(address, "/v1/status").await;
            let listed = operator::read::<Vec<ResourceView>>(address, "/v1/resources").await;
            // A host that has stopped or is not ready serves no configuration.
            let (true, Ok(views)) = (status.is_ok_and(|status| status.ready), listed) else {
                continue;
            };
            compare(&mut state.lock(), &host, &minimums, &views);
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn compare(
    state: &mut DetectorState,
    host: &str,
    minimums: &BTreeMap<ResourceKey, (LogOffset, bool)>,
    views: &[ResourceView],
) {
    state.polls += 1;
    for (key, (minimum, deleted)) in minimums {
        match views.iter().find(|view| view.key == *key) {
            Some(view) if view.version < *minimum => {
                let found = view.version;
                let text =
                    format!("{host}: {key} has version {found}, but {minimum} was in effect");
                state.reverted.push(text);
            }
            None if !deleted => state.reverted.push(format!("{host}: {key} is missing")),
            _ => {}
        }
    }
    for view in views {
        let seen_key = (host.to_owned(), view.key.clone());
        let previous = state.seen.insert(seen_key, view.version);
        if previous.is_some_and(|previous| previous > view.version) {
            let (key, found) = (&view.key, view.version);
            let text = format!("{host}: {key} went from {previous:?} to {found}");
            state.reverted.push(text);
        }
    }
}
