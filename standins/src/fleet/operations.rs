//! Operations on a running fleet.

use std::time::{Duration, Instant};

use jackdawwick::api::wire::StatusView;
use jackdawwick::ids::LogOffset;
use jackdawwick::platform::wire::ListedPhase;

use super::{Fleet, FleetDaemon, FleetEngine};
use crate::check::{RunHistory, TargetSteps};
use crate::json_client::CallError;
use crate::operator::{self, Declaration};

/// Maximum wait until every daemon has applied a change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the status is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Fleet {
    /// Declares resources through the first running daemon, and returns the offset of the
    /// last change.
    ///
    /// # Errors
    /// If no daemon runs or a declaration is refused.
    pub async fn declare(&self, declarations: &[Declaration]) -> Result<LogOffset, CallError> {
        let daemon = self.running().next().ok_or("no daemon is running")?;
        operator::declare_all(daemon.operators, declarations).await
    }

    /// Waits until every running daemon has applied the change at `version`.
    ///
    /// # Errors
    /// If the wait times out; the message names the daemon.
    pub async fn wait_until_applied(&self, version: LogOffset) -> Result<(), CallError> {
        let deadline = Instant::now() + APPLY_TIMEOUT;
        for daemon in self.running() {
            while !has_applied(daemon, version).await {
                if Instant::now() > deadline {
                    return Err(format!("change not applied on {}", daemon.host).into());
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns the daemons that were neither killed nor shut down.
    pub fn running(&self) -> impl Iterator<Item = &FleetDaemon> {
        self.daemons.iter().filter(|daemon| daemon.is_running())
    }

    /// Returns the engine of this name.
    pub fn engine(&self, name: &str) -> Option<&FleetEngine> {
        self.engines
            .iter()
            .find(|engine| engine.target.name == name)
    }

    /// Marks a target as leaving in the host list of the platform.
    pub fn mark_leaving(&mut self, target: &str) {
        for listed in &mut self.hosts.targets {
            if *listed.target == *target {
                listed.phase = ListedPhase::Leaving;
            }
        }
        self.platform.set_hosts(self.hosts.clone());
    }

    /// Returns what the targets have recorded so far; the records of the callers are left
    /// empty.
    pub fn recorded(&self) -> RunHistory {
        let steps = self.engines.iter().map(|engine| TargetSteps {
            target: engine.target.name.as_str().into(),
            records: engine.server.record(),
        });
        let services = self.services.iter();
        RunHistory {
            steps: steps.collect(),
            calls: services
                .flat_map(|service| service.server.record())
                .collect(),
            ..RunHistory::default()
        }
    }

    /// Shuts every daemon down gracefully, then the stand-ins.
    pub async fn shutdown(&mut self) {
        for daemon in &mut self.daemons {
            daemon.shutdown().await;
        }
        for engine in &self.engines {
            engine.server.shutdown();
        }
        for service in &self.services {
            service.server.shutdown();
        }
        self.platform.shutdown();
    }
}

async fn has_applied(daemon: &FleetDaemon, version: LogOffset) -> bool {
    let status = operator::read::<StatusView>(daemon.operators, "/v1/status").await;
    status.is_ok_and(|status| status.ready && status.applied > version)
}
