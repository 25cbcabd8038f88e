//! An entry host from start to stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::entry::configuring::follow_configuration;
use crate::entry::following::{TargetPace, follow_targets};
use crate::entry::log_copy::LogCopy;
use crate::entry::permitting::permit_source;
use crate::entry::placing::keep_placed;
use crate::entry::poison_log::{follow_poison, write_poison};
use crate::entry::readiness::{answer_metrics, answer_readiness};
use crate::entry::relaying::follow_lead;
use crate::entry::retry_share::{first_share, share_retries};
use crate::entry::{EntrySettings, LogDuty, peering};
use crate::forward::{ServingTables, serve};
use crate::peer::PeerError;
use crate::platform::host_settings::{SettingsError, read_settings};
use crate::platform::log_calls::{CallTimeouts, LogClient};

/// How long the log service may take. It answers in 4 ms when it is well, and
/// slow answers of a quarter of a second still count.
///
/// A connection stands within a millisecond, but for one whose first packet was
/// dropped because too many hosts connect at once: that is sent again after a
/// second, and a new connection stands sooner. The newest records of all keys are
/// some hundred kilobytes, which take a quarter of a second on a small host's
/// link, longer where every host of a fleet reads them at once: to begin again
/// after 0.6 s kept hosts without configuration for 1.6 s after a start of 195.
const STORE_LIMITS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(250),
    response: Duration::from_millis(600),
    newest: Duration::from_millis(1500),
};
/// Port of the metrics; `deploy/system.toml` names the same.
const METRICS_PORT: u16 = 9464;
/// Time that is left to the platform before it would kill the process.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end from which nothing new is taken: plain services answer
/// in some 30 ms and nearly all within half a second. A request that was taken
/// 26 ms before the end was run and its answer lost.
const LAST_REQUEST: Duration = Duration::from_millis(700);
/// The balancer asks once a second and needs two misses; callers that it sends
/// until then are still answered.
const ROTATION_OUT: Duration = Duration::from_millis(2600);

/// Why an entry host could not start.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// Its settings are unusable.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Peers cannot be answered.
    #[error(transparent)]
    Peers(#[from] PeerError),
    /// A socket or signal could not be set up.
    #[error("cannot start: {0}")]
    Start(#[from] std::io::Error),
}

/// Runs an entry host until it is told to stop.
///
/// # Errors
///
/// If the settings are unusable or an address cannot be listened on.
pub async fn run_entry(path: PathBuf) -> Result<(), EntryError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let settings = read_settings(&path)?;
    log::info!(host:% = settings.host, zone:% = settings.zone; "starting");
    let tables = ServingTables::new(
        settings.host.clone(),
        settings.zone.clone(),
        first_share(settings.bounds),
    );
    let tables = Arc::new(tables);
    let peers = spawn_workers(&tables, &settings)?;
    let readiness = answer_readiness(tables.clone(), settings.readiness)?;
    let metrics = SocketAddr::new(settings.readiness.ip(), METRICS_PORT);
    if let Err(error) = answer_metrics(tables.clone(), metrics) {
        // Serving callers matters more than being measured.
        log::warn!(address:% = metrics, error:% = error; "metrics are not served");
    }
    let serving = serve(tables.clone(), settings.callers)?;
    // The settings may say port 0.
    log::info!(
        callers:% = serving.address, readiness:% = readiness, peers:% = peers;
        "listening"
    );
    wait_for_stop(&mut terminate, &mut hangup).await;
    log::info!(in_flight = tables.in_flight.load(Ordering::Relaxed); "stopping");
    drain(&tables, settings.bounds.grace).await;
    serving.stop();
    log::info!(in_flight = tables.in_flight.load(Ordering::Relaxed); "stopped");
    Ok(())
}

/// Starts what keeps the tables up to date; gives the address for peers.
fn spawn_workers(
    tables: &Arc<ServingTables>,
    settings: &EntrySettings,
) -> Result<SocketAddr, EntryError> {
    let client = || LogClient::open(settings.store, STORE_LIMITS);
    let copy = Arc::new(LogCopy::new(tables.clone()));
    let first = match settings.is_first_start {
        true => LogDuty::Follows,
        false => LogDuty::Reads,
    };
    let (duty, reads) = watch::channel(first);
    tokio::spawn(follow_configuration(copy.clone(), client(), reads.clone()));
    let pace = TargetPace {
        drain: settings.bounds.drain,
        heartbeat: settings.heartbeat,
    };
    tokio::spawn(follow_targets(copy.clone(), client(), pace, reads.clone()));
    tokio::spawn(follow_poison(tables.clone(), client(), reads.clone()));
    tokio::spawn(write_poison(tables.clone(), client(), reads));
    let (desk, handle) = peering::spawn(settings, settings.peers, tables.clone(), copy.clone())?;
    tables.set_permit_source(permit_source(desk.clone()));
    tokio::spawn(follow_lead(
        tables.clone(),
        copy,
        desk.clone(),
        handle,
        duty,
        settings.is_first_start,
    ));
    tokio::spawn(share_retries(tables.clone(), desk.clone(), settings.bounds));
    let address = desk.address();
    tokio::spawn(keep_placed(tables.clone(), desk, settings.heartbeat));
    Ok(address)
}

/// A changed settings file needs nothing: addresses and bounds stay for the
/// life of a process.
async fn wait_for_stop(terminate: &mut Signal, hangup: &mut Signal) {
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = hangup.recv() => log::info!("settings changed: nothing to reload"),
        }
    }
}

/// Answers what comes until the balancer sends nothing more, and finishes what
/// is in flight, at most until shortly before the process would be killed.
async fn drain(tables: &ServingTables, grace: Duration) {
    const PAUSE: Duration = Duration::from_millis(50);
    let started = Instant::now();
    tables.draining.store(true, Ordering::Relaxed);
    let last = started + grace.saturating_sub(STOP_MARGIN);
    while Instant::now() < last {
        if Instant::now() >= started + ROTATION_OUT {
            tables.closing.store(true, Ordering::Relaxed);
        }
        if Instant::now() + LAST_REQUEST >= last {
            tables.ending.store(true, Ordering::Relaxed);
        }
        let idle = tables.in_flight.load(Ordering::Relaxed) == 0;
        if idle && Instant::now() >= started + ROTATION_OUT {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}
