//! Tables that the daemon's workers share, and the order of their locks.
//!
//! Lock order: a thread that holds one of these locks takes only locks of fields that
//! come later in [`SharedTables`]. Two workers that took two of them in opposite orders
//! would deadlock, which shows as requests that neither end nor use CPU time. No lock is
//! held across an await.

use std::sync::Arc;
use std::time::Instant;

use parking_lot::{Mutex, RwLock};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::oneshot;

use super::claims::ClaimState;
use super::leases::LeaseState;
use super::shares::SharesState;
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

/// Records kept for peers: several hours' worth at a few records per minute.
const RELAY_LIMITS: RelayLimits = RelayLimits {
    records: 1024,
    bytes: 4 * 1024 * 1024,
};

/// All shared tables, with the fields in lock order.
pub(super) struct SharedTables {
    /// Declared resources.
    pub(super) declarations: RwLock<DeclarationTable>,
    /// Records to relay to peers.
    pub(super) relay: Mutex<RecordRelay>,
    /// Leases, with this host's lease machines.
    pub(super) leases: Mutex<LeaseState>,
    /// Claims on idempotency keys, with the requests that claim them.
    pub(super) claims: Mutex<ClaimState>,
    /// The other entry hosts.
    pub(super) membership: Mutex<MembershipTable>,
    /// This host's share of each organisation's capacity.
    pub(super) shares: Mutex<SharesState>,
    /// Watched targets and targets that are leaving.
    pub(super) watch: Mutex<TargetWatch>,
    /// Admission, with the requests that wait for a decision.
    pub(super) admission: Mutex<AdmissionState>,
    /// Pipelines and the state of targets.
    pub(super) routes: RwLock<RouteTable>,
    /// Budget for retries.
    pub(super) budget: Mutex<RetryBudget>,
    /// Decisions with their reasons.
    pub(super) journal: Mutex<JournalTable>,
    /// Random number generator for routing.
    pub(super) random: Mutex<StdRng>,
}

/// The admission table and the requests that wait for its decisions.
///
/// Both are under one lock: a decision between admitting a request and registering its
/// waiter would be lost, and the request would wait forever.
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
