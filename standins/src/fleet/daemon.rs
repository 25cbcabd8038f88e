//! A daemon on a runtime of its own.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use jackdawwick::daemon::{self, DaemonHandle};
use jackdawwick::options::DaemonOptions;
use tokio::runtime::{Builder, Runtime};

use crate::json_client::CallError;

/// Worker threads of each daemon.
const WORKER_THREADS: usize = 2;

/// Address of a listener that is not open.
const UNBOUND: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A daemon of the fleet. Dropping it ends its runtime.
pub struct FleetDaemon {
    /// Name of the entry host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    handle: Option<DaemonHandle>,
    runtime: Option<Runtime>,
}

impl FleetDaemon {
    /// Starts a daemon with these settings.
    pub(crate) async fn spawn(settings: &str) -> Result<Self, CallError> {
        let options = DaemonOptions::from_toml(settings)?;
        let (host, zone) = (options.host.name.to_string(), options.host.zone.to_string());
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            // The thread name assigns processor time to its daemon.
            .thread_name(&host)
            .enable_all()
            .build()?;
        let started = runtime.spawn(daemon::spawn(options)).await;
        // From here on `drop` ends the runtime, also after an error: a runtime must not
        // wait for its tasks on a thread of another runtime.
        let mut daemon = Self {
            host,
            zone,
            callers: UNBOUND,
            operators: UNBOUND,
            handle: None,
            runtime: Some(runtime),
        };
        let handle = started??;
        daemon.callers = handle.caller_address();
        daemon.operators = handle.operator_address();
        daemon.handle = Some(handle);
        Ok(daemon)
    }

    /// Returns whether the daemon was neither killed nor shut down.
    pub fn is_running(&self) -> bool {
        self.runtime.is_some()
    }

    /// Stops the daemon without a graceful shutdown; its connections are closed.
    pub async fn kill(&mut self) {
        if let (Some(handle), Some(runtime)) = (self.handle.take(), &self.runtime) {
            let _ = runtime.spawn(handle.abort()).await;
        }
        self.end_runtime();
    }

    fn end_runtime(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            // Waiting for the tasks here would block the caller's runtime.
            runtime.shutdown_background();
        }
    }

    /// Shuts the daemon down gracefully.
    pub async fn shutdown(&mut self) {
        if let (Some(handle), Some(runtime)) = (self.handle.take(), &self.runtime) {
            let _ = runtime.spawn(handle.shutdown()).await;
        }
        self.end_runtime();
    }
}

impl Drop for FleetDaemon {
    fn drop(&mut self) {
        self.end_runtime();
    }
}
