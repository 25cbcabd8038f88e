//! The tables that the daemon's workers share, and the order of their locks.
//!
//! Lock order: a thread that holds one of these locks takes only locks that
//! stand after it in [`SharedTables`]. Two workers that took two of them in
//! opposite orders would wait for each other for ever; one would notice by
//! requests that neither end nor use the processor. No lock is held across an
//! await.

use std::sync::Arc;
use std::time::Instant;

use parking_lot::{Mutex, RwLock};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::oneshot;

use super::claims::ClaimState;
use super::leases::LeaseState;
use super::sharing::SharesState;
use crate::admission::{AdmissionDecision, AdmissionSettings, AdmissionTable};
use crate::claims::window::ClaimWindow;
use crate::collections::FastMap;
use crate::ids::RequestId;
use crate::journal::{JournalBounds, JournalTable};
use crate::lease::table::{ClockMargin, LeaseTable};
use crate::membership::{MembershipSettings, MembershipTable, TargetWatch, WatchSettings};
use crate::replay::{DeclarationTable, RecordRelay, RelayLimits};
use crate::retry::{BudgetSettings, RetryBudget};
use crate::routing::{RouteSettings, RouteTable};
use crate::shares::ZoneShares;

/// Records kept for peers: those of several hours at a few a minute.
const RELAY_LIMITS: RelayLimits = RelayLimits {
    records: 1024,
    bytes: 4 * 1024 * 1024,
};

/// All shared tables; the fields stand in lock order.
pub(super) struct SharedTables {
    /// What is declared.
    pub(super) declarations: RwLock<DeclarationTable>,
    /// Records to pass on to peers.
    pub(super) relay: Mutex<RecordRelay>,
    /// Leases, with this host's part in them.
    pub(super) leases: Mutex<LeaseState>,
    /// Claims on idempotency keys, with the requests that claim.
    pub(super) claims: Mutex<ClaimState>,
    /// The other entry hosts.
    pub(super) membership: Mutex<MembershipTable>,
    /// What this host may use of each organisation's capacity.
    pub(super) shares: Mutex<SharesState>,
    /// Which targets are watched, and which are leaving.
    pub(super) watch: Mutex<TargetWatch>,
    /// Who may start, with those who wait to be told.
    pub(super) admission: Mutex<AdmissionState>,
    /// Pipelines and what is known of targets.
    pub(super) routes: RwLock<RouteTable>,
    /// Retries that may still be spent.
    pub(super) budget: Mutex<RetryBudget>,
    /// What was decided and why.
    pub(super) journal: Mutex<JournalTable>,
    /// Randomness for routing.
    pub(super) random: Mutex<StdRng>,
}

/// Admission together with the requests that wait for its decision.
///
/// Both stand under one lock: a decision taken between admitting a request and
/// noting who waits for it would be lost, and the request would wait for ever.
pub(super) struct AdmissionState {
    pub(super) table: AdmissionTable,
    pub(super) waiters: FastMap<RequestId, oneshot::Sender<AdmissionDecision>>,
}

/// Settings of all tables.
pub(super) struct TableSettings {
    pub(super) claims: ClaimWindow,
    pub(super) membership: MembershipSettings,
    pub(super) shares: ZoneShares,
    pub(super) watch: WatchSettings,
    pub(super) admission: AdmissionSettings,
    pub(super) routes: RouteSettings,
    pub(super) budget: BudgetSettings,
    pub(super) journal: JournalBounds,
    pub(super) clock_margin: ClockMargin,
    pub(super) seed: u64,
}

impl SharedTables {
    pub(super) fn new(settings: TableSettings, now: Instant) -> Arc<Self> {
        let TableSettings {
            claims,
            membership,
            shares,
            watch,
            admission,
            routes,
            budget,
            journal,
            clock_margin,
            seed,
        } = settings;
        Arc::new(Self {
            declarations: RwLock::new(DeclarationTable::default()),
            relay: Mutex::new(RecordRelay::new(RELAY_LIMITS)),
            leases: Mutex::new(LeaseState::new(LeaseTable::new(clock_margin))),
            claims: Mutex::new(ClaimState::new(claims)),
            membership: Mutex::new(MembershipTable::new(membership, now)),
            shares: Mutex::new(SharesState {
                shares,
                holder: None,
            }),
            watch: Mutex::new(TargetWatch::new(watch)),
            admission: Mutex::new(AdmissionState {
                table: AdmissionTable::new(admission, seed),
                waiters: FastMap::default(),
            }),
            routes: RwLock::new(RouteTable::new(routes)),
            budget: Mutex::new(RetryBudget::new(budget)),
            journal: Mutex::new(JournalTable::new(journal)),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
        })
    }
}
