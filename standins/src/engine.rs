//! Stand-in for a model engine that holds ranges of layers.
//!
//! Besides the targets' protocol it serves:
//!
//! | call | body |
//! |---|---|
//! | `GET`, `PUT /control/faults` | [`EngineFaults`] |
//! | `GET /control/record` | returns a list of [`StepRecord`] |

mod calls;
mod prefix_cache;
mod range_store;
mod record;
mod session;
mod settings;
mod steps;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinHandle;

use crate::faults::FaultSwitch;
use crate::http_server::HttpServer;
use calls::EngineCalls;
pub use prefix_cache::prefix_hashes;
pub use record::{StepKind, StepRecord};
pub use settings::{EngineFaults, EngineSettings, FencingMode};

/// A running engine. Dropping it stops the engine.
#[derive(Debug)]
pub struct EngineServer {
    http: HttpServer,
    calls: Arc<EngineCalls>,
    gauge_task: JoinHandle<()>,
}

impl EngineServer {
    /// Starts an engine that listens on `addr`.
    pub async fn bind(addr: SocketAddr, settings: EngineSettings) -> io::Result<Self> {
        let calls = Arc::new(EngineCalls::new(settings));
        let handler = {
            let calls = Arc::clone(&calls);
            move |call| {
                let calls = Arc::clone(&calls);
                async move { calls.serve(call).await }
            }
        };
        let http = HttpServer::bind(addr, calls.faults.clone(), |faults| faults.dead, handler);
        let http = http.await?;
        let gauge_task = tokio::spawn({
            let calls = Arc::clone(&calls);
            async move {
                let (steps, lag) = (&calls.steps, calls.settings.load_lag);
                steps.gauge.refresh_every(lag, &steps.batch).await;
            }
        });
        Ok(Self {
            http,
            calls,
            gauge_task,
        })
    }

    /// Returns the address on which the engine listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.http.local_addr()
    }

    /// Returns the name from the settings.
    pub fn name(&self) -> &str {
        &self.calls.settings.name
    }

    /// Returns a handle that switches the faults.
    pub fn faults(&self) -> FaultSwitch<EngineFaults> {
        self.calls.faults.clone()
    }

    /// Returns the positions that the engine ran or resumed, in order, up to the limit of
    /// the record.
    pub fn record(&self) -> Vec<StepRecord> {
        self.calls.steps.record.entries()
    }

    /// Simulates a crash: resets every connection and refuses new ones.
    pub fn crash(&self) {
        self.calls.faults.update(|faults| faults.dead = true);
    }

    /// Restarts the engine after [`EngineServer::crash`], without sessions and cache. Wait
    /// before this until a call has failed, as otherwise no client notices the crash.
    pub fn revive(&self) {
        self.calls.steps.clear_state();
        self.calls.faults.update(|faults| faults.dead = false);
    }

    /// Stops listening and closes every connection.
    pub fn shutdown(&self) {
        self.crash();
        self.http.shutdown();
        self.gauge_task.abort();
        self.calls.steps.clear_state();
    }
}

impl Drop for EngineServer {
    fn drop(&mut self) {
        self.shutdown();
    }
}
