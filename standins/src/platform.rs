//! Stand-in for the platform: a log service with offsets and a host list.
//!
//! Besides the platform's protocol it serves:
//!
//! | call | body |
//! |---|---|
//! | `GET`, `PUT /control/faults` | [`PlatformFaults`] |
//! | `PUT /control/hosts` | `HostList`, visible after the list's delay |
//! | `PUT /control/retention` | number of records to keep in each stream |
//! | `GET /control/streams/{stream}` | returns every record, including expired ones |

mod calls;
mod log_store;
mod settings;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use jackdawwick::platform::wire::{HostList, StoredRecord};

use crate::faults::FaultSwitch;
use crate::http_server::HttpServer;
use calls::PlatformCalls;
pub use settings::{PlatformFaults, PlatformSettings};

/// A running platform. Dropping it stops the platform.
#[derive(Debug)]
pub struct PlatformServer {
    http: HttpServer,
    calls: Arc<PlatformCalls>,
}

impl PlatformServer {
    /// Starts a platform that listens on `addr`.
    pub async fn bind(addr: SocketAddr, settings: PlatformSettings) -> io::Result<Self> {
        let calls = Arc::new(PlatformCalls::new(settings));
        let handler = {
            let calls = Arc::clone(&calls);
            move |call| {
                let calls = Arc::clone(&calls);
                async move { calls.serve(call).await }
            }
        };
        let http = HttpServer::bind(addr, calls.faults.clone(), |faults| faults.dead, handler);
        let http = http.await?;
        Ok(Self { http, calls })
    }

    /// Returns the address on which the platform listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.http.local_addr()
    }

    /// Returns a handle that switches the faults.
    pub fn faults(&self) -> FaultSwitch<PlatformFaults> {
        self.calls.faults.clone()
    }

    /// Returns every record of a stream, including expired ones.
    pub fn record(&self, stream: &str) -> Vec<StoredRecord> {
        self.calls.store.dump(stream)
    }

    /// Returns the number of batches appended so far, in all streams.
    pub fn append_count(&self) -> u64 {
        self.calls.store.append_count()
    }

    /// Sets the host list, which becomes visible after `hosts_delay`.
    pub fn set_hosts(&self, hosts: HostList) {
        self.calls.set_hosts(hosts);
    }

    /// Limits each stream to this number of records from now on.
    pub fn set_retention(&self, records: u64) {
        self.calls.store.set_retention(records);
    }

    /// Stops listening and closes every connection.
    pub fn shutdown(&self) {
        self.calls.faults.update(|faults| faults.dead = true);
        self.http.shutdown();
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.shutdown();
    }
}
