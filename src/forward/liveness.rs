//! Detects within milliseconds that the process of an engine has ended.
//!
//! A request depends on every engine of its path but is connected to the first one only.
//! When a later engine crashes, events stop, which shows after 350 ms of silence at the
//! earliest. That exceeds the longest pause of 200 to 250 ms that callers are promised. A
//! crash closes the connections of the process, though: one idle connection to each
//! engine in use shows it at once, and the requests are moved before their callers
//! notice.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::gateway_link::PeerWitness;
use super::tables::ServingTables;
use crate::collections::{FastMap, FastSet};
use crate::fleet::EnginePath;
use crate::ids::TargetId;
use crate::reachability::TargetWay;

/// Longest time to connect: a thousand times the delay of a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Connection attempts that time out before an engine counts as lost. A single lost
/// packet delays a connection by a second.
const MAX_CONNECT_ATTEMPTS: u32 = 2;
/// Shortest lifetime of a connection that an engine may close for being idle. An engine
/// that closes connections sooner has too many of them, and watching it costs more than it
/// is worth.
const MIN_CONNECTION_LIFETIME: Duration = Duration::from_secs(1);
/// Pause after a connection that lived shorter.
const SHORT_LIVED_PAUSE: Duration = Duration::from_secs(5);

/// Time without requests after which the connection to an engine is closed, so that it takes
/// none of the places that the engine has for connections. Requests that follow each other
/// sooner share the connection.
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);
/// Interval at which a connection is checked for requests.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The engines that are watched, and the requests to notify.
#[derive(Debug, Default)]
pub(super) struct LivenessTable {
    connected: Mutex<FastSet<TargetId>>,
    waiting: Mutex<FastMap<TargetId, Vec<Arc<Notify>>>>,
}

/// Notifies a request when one of the engines that it depends on is lost.
#[derive(Debug)]
pub(super) struct LivenessGuard {
    tables: Arc<ServingTables>,
    engines: Vec<TargetId>,
    lost: Arc<Notify>,
}

impl LivenessGuard {
    /// Watches the engines of a path after the first. The end of the first one shows on
    /// the request's own connection.
    pub(super) fn open(tables: Arc<ServingTables>, path: Option<&EnginePath>) -> Self {
        let lost = Arc::new(Notify::new());
        let later = path.iter().flat_map(|path| path.hops.iter().skip(1));
        let later = later.collect::<Vec<_>>();
        for hop in &later {
            tables.liveness.add(&hop.target, &lost);
            watch_engine(&tables, &hop.target, hop.address);
        }
        Self {
            engines: later.into_iter().map(|hop| hop.target.clone()).collect(),
            tables,
            lost,
        }
    }

    /// Waits until an engine is lost, and forever if none is.
    pub(super) async fn lost(&self) {
        self.lost.notified().await;
    }
}

impl Drop for LivenessGuard {
    fn drop(&mut self) {
        for engine in &self.engines {
            self.tables.liveness.remove(engine, &self.lost);
        }
    }
}

impl LivenessTable {
    fn add(&self, target: &TargetId, waiting: &Arc<Notify>) {
        let mut table = self.waiting.lock();
        table
            .entry(target.clone())
            .or_default()
            .push(waiting.clone());
    }

    fn remove(&self, target: &TargetId, waiting: &Arc<Notify>) {
        let mut table = self.waiting.lock();
        let Some(waiters) = table.get_mut(target) else {
            return;
        };
        if let Some(index) = waiters
            .iter()
            .position(|waiter| Arc::ptr_eq(waiter, waiting))
        {
            waiters.swap_remove(index);
        }
        if waiters.is_empty() {
            table.remove(target);
        }
    }

    /// Notifies all requests that depend on a target that it is lost.
    pub(super) fn notify_lost(&self, target: &str) {
        let waiting = self.waiting.lock().get(target).cloned();
        for waiter in waiting.iter().flatten() {
            // A request that is being moved at this moment receives it afterwards.
            waiter.notify_one();
        }
    }

    fn is_needed(&self, target: &str) -> bool {
        self.waiting.lock().contains_key(target)
    }
}

/// Keeps a connection to an engine open while requests pass it, and for [`MAX_IDLE_TIME`].
fn watch_engine(tables: &Arc<ServingTables>, target: &TargetId, address: SocketAddr) {
    let new = tables.liveness.connected.lock().insert(target.clone());
    if new {
        tokio::spawn(watch(tables.clone(), target.clone(), address));
    }
}

async fn watch(tables: Arc<ServingTables>, target: TargetId, address: SocketAddr) {
    let mut short_lived = false;
    while tables.liveness.is_needed(&target) {
        if tables.way(&target) == TargetWay::Gateway {
            // The engine's end does not show on a connection to a gateway.
            break;
        }
        let Some(mut stream) = connect(&tables, &target, address).await else {
            if tables.ask_peers(&target).await != PeerWitness::Reaches && !tables.is_isolated() {
                notify_lost(&tables, &target);
            }
            break;
        };
        if short_lived {
            drop(stream);
            tokio::time::sleep(SHORT_LIVED_PAUSE).await;
            short_lived = false;
            continue;
        }
        let opened = Instant::now();
        tokio::select! {
            () = read_to_end(&mut stream) => {}
            () = unneeded(&tables, &target) => continue,
        }
        short_lived = opened.elapsed() < MIN_CONNECTION_LIFETIME;
    }
    tables.liveness.connected.lock().remove(&target);
}

/// Connects to an engine. Returns `None` if its process has ended or cannot be reached.
async fn connect(
    tables: &Arc<ServingTables>,
    target: &TargetId,
    address: SocketAddr,
) -> Option<TcpStream> {
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        let connected = tables.connect_target(target, address, CONNECT_TIMEOUT);
        match connected.await {
            Ok(stream) => return Some(stream),
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return None,
            Err(error) => {
                log::debug!("cannot connect to engine {address}: {error}");
                // A gateway that gets no answer either needs as long as the next attempt.
                tables.start_asking(target);
            }
        }
    }
    None
}

/// Waits until no request has passed an engine for [`MAX_IDLE_TIME`].
async fn unneeded(tables: &ServingTables, target: &TargetId) {
    let mut needed = Instant::now();
    while needed.elapsed() < MAX_IDLE_TIME {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        if tables.liveness.is_needed(target) {
            needed = Instant::now();
        }
    }
}

async fn read_to_end(stream: &mut TcpStream) {
    let mut buffer = [0; 256];
    while matches!(stream.read(&mut buffer).await, Ok(1..)) {}
}

fn notify_lost(tables: &ServingTables, target: &TargetId) {
    let now = Instant::now();
    let known = {
        let mut fleet = tables.fleet.lock();
        fleet.observe_silence(target, now);
        fleet.get(target).is_some()
    };
    tables.report_ended(target, now);
    if known {
        tables.metrics.ejected("ended");
        log::info!(target_id:% = target; "target takes no connections");
    }
    tables.liveness.notify_lost(target);
}
