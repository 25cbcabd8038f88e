//! Starting a daemon and shutting it down.

use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures::FutureExt;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::admitting::run_admission;
use super::callers::caller_backend;
use super::checkpoints::run_checkpoints;
use super::claims::{answer_peer, run_claims, wait_for_settlements};
use super::core::DaemonCore;
use super::declarations::run_declarations;
use super::leases::{hand_back, run_leases};
use super::members::{answer_beat, run_members};
use super::operators::operator_backend;
use super::reconciling::run_reconciling;
use super::relaying::{relay_records, run_relaying};
use super::sharing::run_sharing;
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

/// Seconds of its rate that an organisation may start at once on a host after
/// a pause. Arrivals on one of many hosts are few and uneven.
const RATE_BURST: Duration = Duration::from_secs(2);
/// How long requests may wait for a first grant: a few reports and their
/// answers, since another host may have to give up first what is to come.
const SHARE_GRACE: Duration = Duration::from_secs(3);
/// Time for claims to settle that requests in flight always leave.
const LEAST_SETTLE_TIME: Duration = Duration::from_secs(1);
/// How long the platform may take for one answer.
const PLATFORM_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a shutdown tries to hand its leases back: an order that is under
/// way may have to end first.
const HAND_BACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a daemon could not be started.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A listener could not be opened.
    #[error(transparent)]
    Api(#[from] ApiError),
    /// Peers cannot be listened to.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The log keeps records too briefly for the key window.
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
/// If a listener cannot be opened.
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
        tokio::spawn(run_relaying(Arc::clone(&core))),
        tokio::spawn(run_checkpoints(Arc::clone(&core), seed)),
        tokio::spawn(run_leases(
            Arc::clone(&core),
            Arc::clone(&lease_appends),
            seed,
        )),
        tokio::spawn(run_reconciling(Arc::clone(&core))),
        tokio::spawn(run_sharing(Arc::clone(&core), allotment_appends, seed)),
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
    /// Address on which callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.local_address()
    }

    /// Address on which operators are served.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.local_address()
    }

    /// Address on which peers are served.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.core.peers().map(PeerHandle::local_address)
    }

    /// Ends at once, as far as peers can tell: nobody is told. What runs on
    /// the current runtime goes on until that ends.
    ///
    /// Without this a daemon whose runtime is dropped would still answer
    /// heartbeats from the peers' own thread, and would look alive.
    pub async fn abort(self) {
        for worker in &self.workers {
            worker.abort();
        }
        if let Some(peers) = self.core.peers() {
            peers.shutdown().await;
        }
    }

    /// Shuts down gracefully: nothing new is taken, what is in flight ends,
    /// leases are handed back.
    ///
    /// What is still in flight after the time that draining may take tells its
    /// caller the verdict and ends.
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
        // The listener stays open meanwhile, to refuse with a verdict.
        let drained = async {
            core.in_flight.wait().await;
            callers.shutdown().await;
        };
        let handed_back = timeout(HAND_BACK_TIMEOUT, hand_back(&core, &lease_appends));
        let (handed_back, ()) = tokio::join!(handed_back, end_in_time(&core, drained));
        if handed_back.is_err() {
            log::warn!("the leases could not be handed back; they lapse in time");
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

/// A number above those of the host's earlier incarnations.
///
/// Peers take a lower one for a process that was frozen while its host was
/// replaced, and do not listen to it until the other has long been silent.
fn new_incarnation(now: SystemTime) -> IncarnationId {
    let since_epoch = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(0);
    // Two starts within a millisecond still differ.
    (millis << 16) | u64::from(rand::random::<u16>())
}

/// Waits for `drained`; once that has taken too long, what is in flight is
/// told to end.
async fn end_in_time<F>(core: &DaemonCore, drained: F)
where
    F: Future<Output = ()>,
{
    let mut drained = pin!(drained);
    let allowed = core.options.timing.drain_timeout;
    if timeout(allowed, &mut drained).await.is_err() {
        log::error!("requests were still in flight after {allowed:?}");
        // A process that just ended here would cut the connections, and a
        // caller could not tell what ran.
        core.drain_over.cancel();
        drained.await;
    }
}

/// Waits until the log shows how this host's claims ended, within what is left
/// of the time for draining.
async fn settle_claims(core: &DaemonCore, began: Instant) {
    let allowed = core.options.timing.drain_timeout;
    let left = allowed
        .saturating_sub(began.elapsed())
        .max(LEAST_SETTLE_TIME);
    if timeout(left, wait_for_settlements(core)).await.is_err() {
        log::warn!("not every claim's end is in the log; its key stays blocked");
    }
}

fn open_platform(options: &DaemonOptions) -> PlatformClient {
    let timeouts = PlatformTimeouts {
        connect: options.timing.connect_timeout,
        response: PLATFORM_ANSWER_TIMEOUT,
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
    let beats = Arc::clone(core);
    let records = Arc::clone(core);
    let claims = Arc::clone(core);
    PeerHandlers {
        heartbeat: Arc::new(move |beat| answer_beat(&beats, &beat)),
        records: Arc::new(move |question| relay_records(&records, &question)),
        claim_outcome: Arc::new(move |question| answer_peer(Arc::clone(&claims), question).boxed()),
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

/// The margin for clock rates, rounded up to whole percents.
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
            ..ApiBounds::default()
        },
        ..ApiSettings::new(address, dropshot_logger())
    }
}
