//! The balancer's question, and the look at which configuration is in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::Method;
use jackdawwick::platform::names;
use tokio::sync::watch;

use super::callers::{CallerDesk, build_request, connect, exchange};
use super::configuration::version_prefix;
use super::history::{CallKind, CallOutcome, CallRecord, ProbeRecord};

/// Pause between two questions of the balancer, and the misses that take a
/// host out.
const READY_PAUSE: Duration = Duration::from_millis(500);
const MISSES: u32 = 2;
/// Pause between two looks at the configuration of a host.
const PROBE_PAUSE: Duration = Duration::from_millis(150);
/// How long an answer may take.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// The configuration that was published last.
#[derive(Debug, Clone, Copy)]
pub(super) struct Published {
    pub(super) version: u64,
    pub(super) at: Instant,
}

/// The present process of a host.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HostLife {
    pub(super) incarnation: u32,
    /// Where it answers whether it is ready; `None` while it is down.
    pub(super) readiness: Option<SocketAddr>,
}

/// Whether a host says that it is ready.
pub(super) async fn is_ready(address: SocketAddr) -> bool {
    let asked = async {
        let mut connection = connect(address).await?;
        let question = build_request("ready", Method::GET, names::READY_PATH, ANSWER_LIMIT);
        exchange(&mut connection, question).await
    };
    let answer = tokio::time::timeout(ANSWER_LIMIT, asked).await;
    matches!(answer, Ok(Some(answer)) if answer.status == 200)
}

/// Takes a host out of rotation and back, until told to stop.
pub(super) async fn balance(desk: Arc<CallerDesk>, host: usize, life: watch::Receiver<HostLife>) {
    let mut misses = MISSES;
    while !desk.is_stopped() {
        let readiness = life.borrow().readiness;
        let ready = match readiness {
            Some(address) => is_ready(address).await,
            None => false,
        };
        misses = if ready { 0 } else { misses + 1 };
        let front = &desk.fronts[host];
        front.ready.store(misses < MISSES, Ordering::Relaxed);
        tokio::time::sleep(READY_PAUSE).await;
    }
}

/// Looks at the configuration of a host, until told to stop.
pub(super) async fn look_at_versions(
    desk: Arc<CallerDesk>,
    host: usize,
    life: watch::Receiver<HostLife>,
    published: watch::Receiver<Published>,
) {
    while !desk.is_stopped() {
        tokio::time::sleep(PROBE_PAUSE).await;
        let (life, newest) = (*life.borrow(), *published.borrow());
        if life.readiness.is_none() || !desk.fronts[host].ready.load(Ordering::Relaxed) {
            continue;
        }
        look(&desk, host, life.incarnation, newest).await;
    }
}

async fn look(desk: &CallerDesk, host: usize, incarnation: u32, newest: Published) {
    let Some(mut connection) = connect(desk.fronts[host].address).await else {
        return;
    };
    let id = desk.draw_id();
    let path = format!("{}look", version_prefix(newest.version));
    let request = build_request(&id, Method::GET, &path, ANSWER_LIMIT);
    let sent = Instant::now();
    let answer = tokio::time::timeout(ANSWER_LIMIT, exchange(&mut connection, request)).await;
    let answered = Instant::now();
    let status = match answer {
        Ok(Some(answer)) => Some(answer.status),
        _ => None,
    };
    let mut history = desk.history.lock();
    history.calls.push(CallRecord {
        id,
        kind: CallKind::Idempotent,
        host,
        sent,
        ended: answered,
        outcome: CallOutcome::Look,
    });
    // A host without any configuration says 503: it takes no side.
    if let Some(status) = status.filter(|status| *status != 503) {
        history.probes.push(ProbeRecord {
            host,
            incarnation,
            version: newest.version,
            in_force: status != 404,
            published: newest.at,
            sent,
            answered,
        });
    }
}
