//! Starts a daemon and shuts it down.

use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures::FutureExt;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::admission::run_admission;
use super::callers::caller_backend;
use super::checkpoints::run_checkpoints;
use super::claims::{handle_outcome_query, run_claims, wait_for_settlements};
use super::core::DaemonCore;
use super::declarations::run_declarations;
use super::leases::{release_leases, run_leases};
use super::members::{handle_heartbeat, run_members};
use super::operators::operator_backend;
use super::reconciliation::run_reconciliation;
use super::record_relay::{relay_records, run_catch_up};
use super::shares::run_shares;
use super::tables::{SharedTables, TableSettings};
use super::targets::{run_host_list, run_load_polls};
use crate::admission::AdmissionSettings;
use crate::api::{ApiBounds, ApiError, ApiHandle, ApiSettings, spawn_callers, spawn_operators};
use crate::claims::window::WindowError;
use crate::ids::IncarnationId;
use crate::journal::JournalBounds;
use crate::lease::table::ClockMargin;
use crate::logging::dropshot_logger;
use crate::membership::{MembershipSettings, WatchSettings};
use crate::options::DaemonOptions;
use crate::peer::{PeerError, PeerHandle, PeerHandlers, PeerSettings, spawn_on};
use crate::platform::append_queue::{AppendOptions, AppendQueue};
use crate::platform::client::{PlatformClient, PlatformTimeouts};
use crate::records::{ALLOTMENT_STREAM, CLAIM_STREAM, DECLARATION_STREAM, LEASE_STREAM};
use crate::retry::{BudgetSettings, EjectionSettings};
use crate::routing::RouteSettings;
use crate::shares::{GrantHolder, GrantSettings, ZoneShares};
use crate::target::client::{TargetClient, TargetTimeouts};

/// Burst that an organisation may start on a host after a pause, as time at its rate:
/// arrivals on one of many hosts are few and uneven.
const RATE_BURST: Duration = Duration::from_secs(2);
/// How long requests may wait for a first grant: a few reports and their replies, since
/// another host may first have to release the capacity.
const SHARE_GRACE: Duration = Duration::from_secs(3);
/// Minimum time for claims to settle, however long the requests in flight take to drain.
const MIN_SETTLE_TIME: Duration = Duration::from_secs(1);
/// Maximum time for one response of the platform.
const PLATFORM_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time that a shutdown spends on releasing its leases: an open order may have to
/// end first.
const LEASE_RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason why a daemon could not be started.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A listener could not be opened.
    #[error(transparent)]
    Api(#[from] ApiError),
    /// The listener for peers could not be opened.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The log keeps records for less time than the idempotency window requires.
    #[error("platform.record_horizon: {0}")]
    Window(#[from] WindowError),
}

/// A running daemon.
pub struct DaemonHandle {
    core: Arc<DaemonCore>,
    callers: ApiHandle,
    operators: ApiHandle,
    workers: Vec<JoinHandle<()>>,
    lease_appends: Arc<AppendQueue>,
}

/// Starts a daemon on the current tokio runtime.
///
/// # Errors
/// Returns an error if a listener cannot be opened or if the log keeps records too
/// briefly for the idempotency window.
pub async fn spawn(options: DaemonOptions) -> Result<DaemonHandle, DaemonError> {
    let seed = options.host.seed.unwrap_or_else(rand::random);
    let incarnation = new_incarnation(SystemTime::now());
    let listener = TcpListener::bind(options.listen.peers).map_err(PeerError::from)?;
    let peer_address = match options.listen.advertised_peers {
        Some(advertised) => advertised,
        None => listener.local_addr().map_err(PeerError::from)?,
    };
    let settings = table_settings(&options, incarnation, peer_address, seed)?;
    let platform = open_platform(&options);
    let core = DaemonCore::new(
        incarnation,
        SharedTables::new(settings, Instant::now()),
        TargetClient::open(target_timeouts(&options)),
        platform.clone(),
        AppendQueue::spawn(
            platform.clone(),
            AppendOptions::for_stream(DECLARATION_STREAM),
        ),
        AppendQueue::spawn(platform, AppendOptions::for_stream(CLAIM_STREAM)),
        options,
    );
    core.set_peers(open_peers(&core, listener, seed)?);
    let lease_appends = Arc::new(AppendQueue::spawn(
        core.platform.clone(),
        AppendOptions::for_stream(LEASE_STREAM),
    ));
    let allotment_appends = Arc::new(AppendQueue::spawn(
        core.platform.clone(),
        AppendOptions::for_stream(ALLOTMENT_STREAM),
    ));
    let workers = vec![
        tokio::spawn(run_declarations(Arc::clone(&core), seed)),
        tokio::spawn(run_catch_up(Arc::clone(&core))),
        tokio::spawn(run_checkpoints(Arc::clone(&core), seed)),
        tokio::spawn(run_leases(
            Arc::clone(&core),
            Arc::clone(&lease_appends),
            seed,
        )),
        tokio::spawn(run_reconciliation(Arc::clone(&core))),
        tokio::spawn(run_shares(Arc::clone(&core), allotment_appends, seed)),
        tokio::spawn(run_claims(Arc::clone(&core), seed)),
        tokio::spawn(run_admission(Arc::clone(&core))),
        tokio::spawn(run_members(Arc::clone(&core))),
        tokio::spawn(run_load_polls(Arc::clone(&core))),
        tokio::spawn(run_host_list(Arc::clone(&core), seed)),
    ];
    let callers = spawn_callers(
        &api_settings(&core, core.options.listen.callers),
        caller_backend(&core),
    )?;
    let operators = spawn_operators(
        &api_settings(&core, core.options.listen.operators),
        operator_backend(&core),
    )?;
    log::info!(
        "host {} in zone {}: callers on {}, operators on {}",
        core.host(),
        core.zone(),
        callers.local_address(),
        operators.local_address(),
    );
    Ok(DaemonHandle {
        core,
        callers,
        operators,
        workers,
        lease_appends,
    })
}

impl DaemonHandle {
    /// Returns the address on which callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.local_address()
    }

    /// Returns the address on which operators are served.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.local_address()
    }

    /// Returns the address on which peers are served.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.core.peers().map(PeerHandle::local_address)
    }

    /// Ends without notifying peers, as after a crash. Tasks on the current runtime
    /// continue until the runtime ends.
    ///
    /// Without this, a daemon whose runtime is dropped would still reply to heartbeats
    /// from the peers' own thread, and would appear alive.
    pub async fn abort(self) {
        for worker in &self.workers {
            worker.abort();
        }
        if let Some(peers) = self.core.peers() {
            peers.shutdown().await;
        }
    }

    /// Shuts down gracefully: accepts no new requests, finishes those in flight and
    /// releases the leases.
    ///
    /// When the drain timeout expires, requests still in flight report their verdict to
    /// the caller and end.
    pub async fn shutdown(self) {
        let Self {
            core,
            callers,
            operators,
            workers,
            lease_appends,
        } = self;
        let began = Instant::now();
        core.begin_draining();
        core.in_flight.close();
        // The listener stays open meanwhile, to refuse requests with a verdict.
        let drained = async {
            core.in_flight.wait().await;
            callers.shutdown().await;
        };
        let released = timeout(LEASE_RELEASE_TIMEOUT, release_leases(&core, &lease_appends));
        let (released, ()) = tokio::join!(released, drain_with_timeout(&core, drained));
        if released.is_err() {
            log::warn!("the leases could not be released; they remain held until they expire");
        }
        settle_claims(&core, began).await;
        operators.shutdown().await;
        for worker in workers {
            worker.abort();
        }
        if let Some(peers) = core.peers() {
            peers.shutdown().await;
        }
    }
}

/// Returns an incarnation number that is higher than those of the host's earlier
/// incarnations.
///
/// Peers treat a lower number as that of a process that was frozen while its host was
/// replaced, and ignore it until the other incarnation has been silent for a long time.
fn new_incarnation(now: SystemTime) -> IncarnationId {
    let since_epoch = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(0);
    // Two starts within a millisecond still get different numbers.
    (millis << 16) | u64::from(rand::random::<u16>())
}

/// Waits for `drained`. When the drain timeout expires, requests in flight are cancelled
/// and report their verdicts.
async fn drain_with_timeout<F>(core: &DaemonCore, drained: F)
where
    F: Future<Output = ()>,
{
    let mut drained = pin!(drained);
    let allowed = core.options.timing.drain_timeout;
    if timeout(allowed, &mut drained).await.is_err() {
        log::error!("requests are still in flight after the drain timeout of {allowed:?}");
        // If the process ended here, the connections would be cut and callers would not
        // learn what ran.
        core.drain_expired.cancel();
        drained.await;
    }
}

/// Waits until the log shows the outcomes of this host's claims, within the rest of the
/// drain timeout.
async fn settle_claims(core: &DaemonCore, began: Instant) {
    let allowed = core.options.timing.drain_timeout;
    let remaining = allowed.saturating_sub(began.elapsed()).max(MIN_SETTLE_TIME);
    if timeout(remaining, wait_for_settlements(core))
        .await
        .is_err()
    {
        log::warn!("some claims are not settled in the log; their keys stay blocked");
    }
}

fn open_platform(options: &DaemonOptions) -> PlatformClient {
    let timeouts = PlatformTimeouts {
        connect: options.timing.connect_timeout,
        response: PLATFORM_RESPONSE_TIMEOUT,
    };
    PlatformClient::open(options.platform.address, timeouts)
}

fn target_timeouts(options: &DaemonOptions) -> TargetTimeouts {
    TargetTimeouts {
        connect: options.timing.connect_timeout,
        response: options.timing.step_timeout,
        ..TargetTimeouts::default()
    }
}

fn open_peers(
    core: &Arc<DaemonCore>,
    listener: TcpListener,
    seed: u64,
) -> Result<PeerHandle, PeerError> {
    let settings = PeerSettings {
        connect_timeout: core.options.timing.connect_timeout,
        seed,
        ..PeerSettings::new(core.options.listen.peers)
    };
    spawn_on(listener, settings, peer_handlers(core))
}

fn peer_handlers(core: &Arc<DaemonCore>) -> PeerHandlers {
    let heartbeats = Arc::clone(core);
    let records = Arc::clone(core);
    let claims = Arc::clone(core);
    PeerHandlers {
        heartbeat: Arc::new(move |heartbeat| handle_heartbeat(&heartbeats, &heartbeat)),
        records: Arc::new(move |request| relay_records(&records, &request)),
        claim_outcome: Arc::new(move |request| {
            handle_outcome_query(Arc::clone(&claims), request).boxed()
        }),
    }
}

fn table_settings(
    options: &DaemonOptions,
    incarnation: IncarnationId,
    peer_address: SocketAddr,
    seed: u64,
) -> Result<TableSettings, DaemonError> {
    let (host, zone) = (&options.host.name, &options.host.zone);
    let membership = MembershipSettings {
        zone_interval: options.timing.heartbeat_interval,
        suspect_after: options.timing.peer_timeout,
        ..MembershipSettings::new(host.clone(), zone.clone(), incarnation, peer_address)
    };
    let holder = GrantHolder {
        host: host.clone(),
        incarnation,
    };
    let shares = ZoneShares::new(
        GrantSettings::default(),
        zone.clone(),
        holder,
        Instant::now(),
    );
    let watch = WatchSettings::new(host.clone(), zone.clone());
    let admission = AdmissionSettings {
        queue_length: options.limits.max_queued_per_organisation,
        share_grace: SHARE_GRACE,
        rate_burst: RATE_BURST,
        ..AdmissionSettings::default()
    };
    let ejection = &options.retries.ejection;
    let routes = RouteSettings {
        ejection: EjectionSettings {
            consecutive_failures: ejection.consecutive_failures,
            base_duration: ejection.base_time,
            fraction_out: ejection.max_fraction,
            ..EjectionSettings::default()
        },
        policy: options.routing.policy,
        ..RouteSettings::new(options.host.zone.clone())
    };
    let budget = BudgetSettings {
        fraction: options.retries.budget_ratio,
        burst: f64::from(options.retries.burst),
    };
    let journal = JournalBounds {
        entries: options.limits.journal_entries,
        ..JournalBounds::default()
    };
    Ok(TableSettings {
        claims: options.claim_window()?,
        membership,
        shares,
        watch,
        admission,
        routes,
        budget,
        journal,
        clock_margin: clock_margin(options.timing.clock_rate_margin),
        seed,
    })
}

/// Returns the margin for clock rates, rounded up to whole percent.
fn clock_margin(fraction: f64) -> ClockMargin {
    ClockMargin {
        percent: (fraction * 100.0).ceil() as u32,
    }
}

fn api_settings(core: &DaemonCore, address: SocketAddr) -> ApiSettings {
    let limits = &core.options.limits;
    ApiSettings {
        bounds: ApiBounds {
            connections: limits.max_connections,
            head_bytes: limits.max_header_bytes,
            head_count: limits.max_header_count,
            body_bytes: limits.max_body_bytes,
            buffered_bytes: limits.max_buffered_bytes,
            ..ApiBounds::default()
        },
        ..ApiSettings::new(address, dropshot_logger())
    }
}
