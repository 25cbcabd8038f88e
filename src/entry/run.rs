//! The life cycle of an entry host, from start to shutdown.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::buffer::BufferPlan;
use crate::entry::capacity_refresh::refresh_capacity;
use crate::entry::configuration_follower::follow_configuration;
use crate::entry::drain::drain;
use crate::entry::host_log::follow_hosts;
use crate::entry::log_copy::LogCopy;
use crate::entry::peer_exchange::PeerState;
use crate::entry::permit_requests::permit_source;
use crate::entry::placement::run_placement;
use crate::entry::poison_log::{follow_poison, write_poison};
use crate::entry::readiness::{serve_metrics, serve_readiness};
use crate::entry::relay_follower::follow_leader;
use crate::entry::retry_share::share_retries;
use crate::entry::settings_watch::watch_settings;
use crate::entry::target_follower::{TargetTiming, follow_targets};
use crate::entry::zone_balance::balance_zones;
use crate::entry::{EntrySettings, LogRole, gateway_peers, peer_exchange};
use crate::forward::{GatewayHandle, ServingTables, serve};
use crate::peer::PeerError;
use crate::platform::host_settings::{SettingsError, read_settings};
use crate::platform::log_calls::{CallTimeouts, LogClient};
use crate::retry::RetryShare;

/// Timeouts of calls to the log service. It responds in 4 ms when healthy, and slow
/// responses of a quarter of a second still count.
///
/// A connection takes under a millisecond, unless its first packet is dropped because too
/// many hosts connect at once: that packet is resent after a second, and a new connection
/// is established sooner. The newest records of all keys are a few hundred kilobytes, which
/// take a quarter of a second on a small host's link and longer when all hosts of a fleet
/// read them at once. With a timeout of 0.6 s, hosts stay without a configuration for 1.6 s
/// after a start of 195.
const LOG_TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(250),
    response: Duration::from_millis(600),
    newest: Duration::from_millis(1500),
};
/// Port of the metrics; `deploy/system.toml` names the same port.
const METRICS_PORT: u16 = 9464;

/// Errors that keep an entry host from starting.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The settings are unusable.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Peers cannot be served.
    #[error(transparent)]
    Peers(#[from] PeerError),
    /// A socket or signal could not be set up.
    #[error("cannot start: {0}")]
    Start(#[from] std::io::Error),
}

/// Runs an entry host until it receives SIGTERM and has drained.
///
/// # Errors
///
/// If the settings are unusable or an address cannot be listened on.
pub async fn run_entry(path: PathBuf) -> Result<(), EntryError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let settings = read_settings(&path)?;
    log::info!(host:% = settings.host, zone:% = settings.zone; "starting");
    let share = RetryShare::new(settings.bounds.retries, Instant::now());
    let tables = ServingTables::with_plan(
        settings.host.clone(),
        settings.zone.clone(),
        share.settings(),
        BufferPlan::divide(settings.memory_mb << 20, settings.descriptors),
    );
    let tables = Arc::new(tables);
    let (peer_state, gateway) = spawn_workers(&tables, &settings, share)?;
    let readiness = serve_readiness(tables.clone(), settings.readiness)?;
    let metrics = SocketAddr::new(settings.readiness.ip(), METRICS_PORT);
    if let Err(error) = serve_metrics(tables.clone(), metrics) {
        // Serving callers matters more than serving metrics.
        log::warn!(address:% = metrics, error:% = error; "metrics are not served");
    }
    let serving = serve(tables.clone(), settings.callers)?;
    // The settings may specify port 0.
    log::info!(
        callers:% = serving.address, readiness:% = readiness, peers:% = peer_state.address();
        "listening"
    );
    let grace = settings.bounds.grace;
    tokio::spawn(watch_settings(path, settings, peer_state, hangup));
    // The receiver of a signal does not close while the process runs.
    let _ = terminate.recv().await;
    log::info!(in_flight = tables.in_flight.load(Ordering::Relaxed); "stopping");
    drain(&tables, serving, gateway, grace).await;
    log::info!(in_flight = tables.in_flight.load(Ordering::Relaxed); "stopped");
    Ok(())
}

/// Starts the tasks that keep the tables up to date; returns the state of the peers, and the
/// gateway for them.
fn spawn_workers(
    tables: &Arc<ServingTables>,
    settings: &EntrySettings,
    share: RetryShare,
) -> Result<(Arc<PeerState>, Option<GatewayHandle>), EntryError> {
    let client = || LogClient::open(settings.store, LOG_TIMEOUTS);
    let copy = Arc::new(LogCopy::new(tables.clone()));
    let first = match settings.is_first_start {
        true => LogRole::Follower,
        false => LogRole::Reader,
    };
    let (role, role_receiver) = watch::channel(first);
    tokio::spawn(follow_configuration(
        copy.clone(),
        client(),
        role_receiver.clone(),
    ));
    let timing = TargetTiming {
        drain: settings.bounds.drain,
        heartbeat: settings.heartbeat,
    };
    tokio::spawn(follow_targets(
        copy.clone(),
        client(),
        timing,
        role_receiver.clone(),
    ));
    tokio::spawn(follow_poison(
        tables.clone(),
        copy.clone(),
        client(),
        role_receiver.clone(),
    ));
    tokio::spawn(write_poison(
        tables.clone(),
        copy.clone(),
        client(),
        role_receiver,
    ));
    let (peer_state, handle) =
        peer_exchange::spawn(settings, settings.peers, tables.clone(), copy.clone())?;
    tables.set_permit_source(permit_source(peer_state.clone()));
    tokio::spawn(follow_hosts(peer_state.clone(), copy.clone(), client()));
    let gateway = gateway_peers::spawn(tables, &peer_state, settings);
    tokio::spawn(follow_leader(
        tables.clone(),
        copy,
        peer_state.clone(),
        handle,
        role,
        settings.is_first_start,
    ));
    tokio::spawn(share_retries(tables.clone(), peer_state.clone(), share));
    tokio::spawn(refresh_capacity(tables.clone(), peer_state.clone()));
    tokio::spawn(balance_zones(tables.clone()));
    tokio::spawn(run_placement(
        tables.clone(),
        peer_state.clone(),
        settings.heartbeat,
    ));
    Ok((peer_state, gateway))
}
