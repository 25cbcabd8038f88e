//! The table that admission decides from.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::collections::FastMap;
use crate::ids::{OrganisationId, RequestId};

use super::AdmissionSettings;
use super::organisation::{OrganisationState, QueuePosition};

/// Shares, queues and what is in flight on this host.
///
/// Everything that the table holds is bounded: by the declared organisations,
/// by the queue lengths and by the requests in flight.
#[derive(Debug)]
pub struct AdmissionTable {
    pub(super) settings: AdmissionSettings,
    pub(super) rng: StdRng,
    /// Sorted, because iteration decides who starts.
    pub(super) organisations: BTreeMap<OrganisationId, OrganisationState>,
    pub(super) running: FastMap<RequestId, OrganisationId>,
    pub(super) waiting: FastMap<RequestId, QueueEntry>,
    /// Requests that the targets can carry at once.
    pub(super) capacity: u32,
    /// Virtual time of the last start.
    pub(super) virtual_time: f64,
    /// Arrivals so far.
    pub(super) arrivals: u64,
}

/// Where a waiting request stands.
#[derive(Debug, Clone)]
pub(super) struct QueueEntry {
    pub(super) organisation: OrganisationId,
    pub(super) position: QueuePosition,
}

impl AdmissionTable {
    /// A table without organisations and without a host-wide bound; `seed`
    /// feeds the jitter.
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
