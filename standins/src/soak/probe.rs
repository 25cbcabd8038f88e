//! Readiness checks of the load balancer, and probes for the active configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::Method;
use jackdawwick::platform::names;
use tokio::sync::watch;

use super::callers::{CallerContext, build_request, connect, exchange};
use super::configuration::version_prefix;
use super::history::{CallKind, CallOutcome, CallRecord, ProbeRecord};

/// Interval of the readiness checks, and the number of failed checks after which a host
/// is taken out of rotation.
const READY_INTERVAL: Duration = Duration::from_millis(500);
const UNREADY_THRESHOLD: u32 = 2;
/// Interval of the probes for the configuration of a host.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The configuration that was published last.
#[derive(Debug, Clone, Copy)]
pub(super) struct Published {
    pub(super) version: u64,
    pub(super) at: Instant,
}

/// The current process of a host.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HostProcess {
    pub(super) incarnation: u32,
    /// Address of its readiness endpoint; `None` while it is down.
    pub(super) readiness: Option<SocketAddr>,
}

/// Returns whether a host reports that it is ready.
pub(super) async fn is_ready(address: SocketAddr) -> bool {
    let readiness_check = async {
        let mut connection = connect(address).await?;
        let request = build_request("ready", Method::GET, names::READY_PATH, RESPONSE_TIMEOUT);
        exchange(&mut connection, request).await
    };
    let response = tokio::time::timeout(RESPONSE_TIMEOUT, readiness_check).await;
    matches!(response, Ok(Some(response)) if response.status == 200)
}

/// Takes a host out of rotation and back in, until the callers are stopped.
pub(super) async fn balance(
    context: Arc<CallerContext>,
    host: usize,
    process: watch::Receiver<HostProcess>,
) {
    let mut misses = UNREADY_THRESHOLD;
    while !context.is_stopped() {
        let readiness = process.borrow().readiness;
        let ready = match readiness {
            Some(address) => is_ready(address).await,
            None => false,
        };
        misses = if ready { 0 } else { misses + 1 };
        let front = &context.fronts[host];
        front
            .ready
            .store(misses < UNREADY_THRESHOLD, Ordering::Relaxed);
        tokio::time::sleep(READY_INTERVAL).await;
    }
}

/// Probes the configuration of a host until the callers are stopped.
pub(super) async fn probe_versions(
    context: Arc<CallerContext>,
    host: usize,
    process: watch::Receiver<HostProcess>,
    published: watch::Receiver<Published>,
) {
    while !context.is_stopped() {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let (process, newest) = (*process.borrow(), *published.borrow());
        if process.readiness.is_none() || !context.fronts[host].ready.load(Ordering::Relaxed) {
            continue;
        }
        probe_version(&context, host, process.incarnation, newest).await;
    }
}

async fn probe_version(context: &CallerContext, host: usize, incarnation: u32, newest: Published) {
    let Some(mut connection) = connect(context.fronts[host].address).await else {
        return;
    };
    let id = context.allocate_id();
    let path = format!("{}look", version_prefix(newest.version));
    let request = build_request(&id, Method::GET, &path, RESPONSE_TIMEOUT);
    let sent = Instant::now();
    let response = tokio::time::timeout(RESPONSE_TIMEOUT, exchange(&mut connection, request)).await;
    let received = Instant::now();
    let status = match response {
        Ok(Some(response)) => Some(response.status),
        _ => None,
    };
    let mut history = context.history.lock();
    history.calls.push(CallRecord {
        id,
        kind: CallKind::Idempotent,
        host,
        sent,
        ended: received,
        outcome: CallOutcome::Probe,
        not_run: false,
    });
    // A host without any configuration responds with 503, which shows nothing about a
    // version.
    if let Some(status) = status.filter(|status| *status != 503) {
        history.probes.push(ProbeRecord {
            host,
            incarnation,
            version: newest.version,
            active: status != 404,
            published: newest.at,
            sent,
            received,
        });
    }
}
