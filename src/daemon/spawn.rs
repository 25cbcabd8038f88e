//! Starting a daemon and shutting it down.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;

use super::admitting::run_admission;
use super::callers::caller_backend;
use super::core::DaemonCore;
use super::declarations::{open_tail, run_declarations};
use super::operators::operator_backend;
use super::tables::SharedTables;
use crate::admission::AdmissionSettings;
use crate::api::{ApiError, ApiHandle, ApiSettings, spawn_callers, spawn_operators};
use crate::journal::JournalBounds;
use crate::logging::dropshot_logger;
use crate::options::DaemonOptions;
use crate::platform::append_queue::{AppendOptions, AppendQueue};
use crate::platform::client::{PlatformClient, PlatformTimeouts};
use crate::records::DECLARATION_STREAM;
use crate::retry::{BudgetSettings, EjectionSettings};
use crate::routing::RouteSettings;
use crate::target::client::{TargetClient, TargetTimeouts};

/// How long the platform may take for one answer.
const PLATFORM_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a daemon could not be started.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A listener could not be opened.
    #[error(transparent)]
    Api(#[from] ApiError),
}

/// A running daemon.
pub struct DaemonHandle {
    core: Arc<DaemonCore>,
    callers: ApiHandle,
    operators: ApiHandle,
    workers: Vec<JoinHandle<()>>,
}

/// Starts a daemon on the current tokio runtime.
///
/// # Errors
/// If a listener cannot be opened.
pub async fn spawn(options: DaemonOptions) -> Result<DaemonHandle, DaemonError> {
    let seed = options.host.seed.unwrap_or_else(rand::random);
    let platform = open_platform(&options);
    let core = DaemonCore::new(
        rand::random(),
        open_tables(&options, seed),
        TargetClient::open(target_timeouts(&options)),
        AppendQueue::spawn(
            platform.clone(),
            AppendOptions::for_stream(DECLARATION_STREAM),
        ),
        options,
    );
    let tail = open_tail(platform, &core, seed);
    let workers = vec![
        tokio::spawn(run_declarations(Arc::clone(&core), tail)),
        tokio::spawn(run_admission(Arc::clone(&core))),
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

    /// Shuts down gracefully: nothing new is taken, what is in flight ends.
    pub async fn shutdown(self) {
        self.core.begin_draining();
        self.core.in_flight.close();
        let finished = self.core.in_flight.wait();
        let timeout = self.core.options.timing.drain_timeout;
        if tokio::time::timeout(timeout, finished).await.is_err() {
            log::error!("requests were still in flight after {timeout:?}");
        }
        self.callers.shutdown().await;
        self.operators.shutdown().await;
        for worker in self.workers {
            worker.abort();
        }
    }
}

fn open_platform(options: &DaemonOptions) -> PlatformClient {
    let timeouts = PlatformTimeouts {
        connect: options.timing.connect_timeout,
        answer: PLATFORM_ANSWER_TIMEOUT,
    };
    PlatformClient::open(options.platform.address, timeouts)
}

fn target_timeouts(options: &DaemonOptions) -> TargetTimeouts {
    TargetTimeouts {
        connect: options.timing.connect_timeout,
        answer: options.timing.step_timeout,
        ..TargetTimeouts::default()
    }
}

fn open_tables(options: &DaemonOptions, seed: u64) -> Arc<SharedTables> {
    let admission = AdmissionSettings {
        queue_length: options.limits.max_queued_per_organisation,
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
    SharedTables::new(admission, routes, budget, journal, seed)
}

fn api_settings(core: &DaemonCore, address: SocketAddr) -> ApiSettings {
    ApiSettings {
        body_limit: core.options.limits.max_body_bytes,
        ..ApiSettings::new(address, dropshot_logger())
    }
}
