//! Stand-in for a plain service, some of whose operations are not idempotent.
//!
//! Besides `POST /v1/calls/{operation}`, `GET /v1/load` and `/v1/state` it serves:
//!
//! | call | body |
//! |---|---|
//! | `GET`, `PUT /control/faults` | [`ServiceFaults`] |
//! | `GET /control/record` | returns a list of [`CallRecord`] |

mod calls;
mod settings;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinHandle;

use crate::faults::FaultSwitch;
use crate::http_server::HttpServer;
use calls::ServiceCalls;
pub use settings::{CallRecord, DeathPoint, ServiceFaults, ServiceResponse, ServiceSettings};

/// A running service. Dropping it stops the service.
#[derive(Debug)]
pub struct ServiceServer {
    http: HttpServer,
    calls: Arc<ServiceCalls>,
    gauge_task: JoinHandle<()>,
}

impl ServiceServer {
    /// Starts a service that listens on `addr`.
    pub async fn bind(addr: SocketAddr, settings: ServiceSettings) -> io::Result<Self> {
        let calls = Arc::new(ServiceCalls::new(settings));
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
                let lag = calls.settings.load_lag;
                calls.gauge.refresh_every(lag, &calls.batch).await;
            }
        });
        Ok(Self {
            http,
            calls,
            gauge_task,
        })
    }

    /// Returns the address on which the service listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.http.local_addr()
    }

    /// Returns a handle that switches the faults.
    pub fn faults(&self) -> FaultSwitch<ServiceFaults> {
        self.calls.faults.clone()
    }

    /// Returns the calls that ran, in order, up to the limit of the record.
    pub fn record(&self) -> Vec<CallRecord> {
        self.calls.record.entries()
    }

    /// Simulates a crash: resets every connection and refuses new ones.
    pub fn crash(&self) {
        self.calls.faults.update(|faults| faults.dead = true);
    }

    /// Restarts the service after a crash. Wait before this until a call has failed, as
    /// otherwise no client notices the crash.
    pub fn revive(&self) {
        self.calls.faults.update(|faults| faults.dead = false);
    }

    /// Stops listening and closes every connection.
    pub fn shutdown(&self) {
        self.crash();
        self.http.shutdown();
        self.gauge_task.abort();
    }
}

impl Drop for ServiceServer {
    fn drop(&mut self) {
        self.shutdown();
    }
}
