//! State of admission control on one host.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::collections::FastMap;
use crate::ids::{OrganisationId, RequestId};

use super::AdmissionSettings;
use super::organisation::{OrganisationState, QueuePosition};

/// Shares, queues and requests in flight on this host.
///
/// Its size is bounded by the declared organisations, the queue lengths and the requests
/// in flight.
#[derive(Debug)]
pub struct AdmissionTable {
    pub(super) settings: AdmissionSettings,
    pub(super) rng: StdRng,
    /// Sorted, because the iteration order decides which organisation starts first.
    pub(super) organisations: BTreeMap<OrganisationId, OrganisationState>,
    pub(super) running: FastMap<RequestId, OrganisationId>,
    pub(super) waiting: FastMap<RequestId, QueueEntry>,
    /// Number of requests that the targets can serve at once.
    pub(super) capacity: u32,
    /// Virtual time of the last start.
    pub(super) virtual_time: f64,
    /// Number of arrivals so far.
    pub(super) arrivals: u64,
}

/// Location of a waiting request.
#[derive(Debug, Clone)]
pub(super) struct QueueEntry {
    pub(super) organisation: OrganisationId,
    pub(super) position: QueuePosition,
}

impl AdmissionTable {
    /// Creates a table without organisations and without a host-wide limit; `seed` seeds
    /// the jitter.
    pub fn new(settings: AdmissionSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: StdRng::seed_from_u64(seed),
            organisations: BTreeMap::new(),
            running: FastMap::default(),
            waiting: FastMap::default(),
            capacity: u32::MAX,
            virtual_time: 0.0,
            arrivals: 0,
        }
    }
}
