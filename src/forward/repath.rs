//! Moves a running request to other engines.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;

use super::liveness::LivenessGuard;
use super::probe::call_target;
use super::tables::InFlightGuard;
use super::watch::PathWatch;
use crate::fleet::{EnginePath, PathQuery, repair_path};
use crate::ids::TargetId;
use crate::platform::target_record::platform_id;
use crate::platform::{names, order};
use crate::silence::SilenceAction;

/// Longest time for the first engine to accept a new path.
const MOVE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time that a moved request waits for a permit: callers notice the pause.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(100);
/// Maximum number of move orders for one request. Each executed order makes an engine
/// process the tokens again, and each has a price. If an engine refuses for lack of room,
/// another holder of its layers accepts, or none does.
const MAX_MOVES: u32 = 5;

impl PathWatch {
    /// Replaces `failed` and all other unavailable engines of the path. An engine that
    /// refuses its part is excluded from the next attempt.
    ///
    /// The first engine holds the connection and cannot be replaced this way. The request
    /// keeps the tokens that all other engines have processed. A move spends no retry:
    /// the requests of one lost engine would use up the retry budget of a few hundred.
    pub(super) async fn move_away(&mut self, failed: &TargetId) -> bool {
        let Some(path) = self.chosen.path.clone() else {
            return false;
        };
        let mut failing = self.unavailable_engines(&path.hops, Instant::now());
        failing.push(failed.clone());
        if self.exchange.is_poison(Instant::now()) {
            // Each engine that took over would crash in turn.
            return false;
        }
        while self.moves < MAX_MOVES {
            let Some(repaired) = self.repair(&path, &failing) else {
                return false;
            };
            let withheld = self.engines_without_permit(&repaired, &path).await;
            if !withheld.is_empty() {
                failing.extend(withheld);
                continue;
            }
            self.moves += 1;
            match self.send_move_order(&repaired).await {
                MoveResult::Done => {
                    self.switch_path(repaired, &path);
                    return true;
                }
                MoveResult::Refused(Some(engine)) => failing.push(engine),
                MoveResult::Refused(None) | MoveResult::NoReply => return false,
            }
        }
        false
    }

    /// Returns the engines that the new path adds and that give no permit in time.
    async fn engines_without_permit(
        &self,
        repaired: &EnginePath,
        before: &EnginePath,
    ) -> Vec<TargetId> {
        let is_new = |id: &&TargetId| !before.hops.iter().any(|hop| hop.target == **id);
        let new = || repaired.hops.iter().map(|hop| &hop.target).filter(is_new);
        let exchange = &self.exchange;
        let targets = exchange.tables.attempt_targets(new(), Instant::now());
        match exchange.acquire_permits(&targets, MAX_PERMIT_WAIT).await {
            Ok(()) => Vec::new(),
            Err(_) => exchange.withheld_targets(new()),
        }
    }

    /// Continues the request on the path `repaired`.
    fn switch_path(&mut self, repaired: EnginePath, before: &EnginePath) {
        let tables = self.exchange.tables.clone();
        self.liveness = LivenessGuard::open(tables.clone(), Some(&repaired));
        self.chosen.path = Some(repaired);
        let loads = self.chosen.loads_after_move(before);
        self.guard = Some(InFlightGuard::open(tables, loads));
        self.end_silence(SilenceAction::Moved);
        self.observe_progress(Instant::now());
    }

    /// Returns the path with all engines in `failing` replaced.
    fn repair(&self, path: &EnginePath, failing: &[TargetId]) -> Option<EnginePath> {
        let exchange = &self.exchange;
        let model = exchange.service.engine.as_ref()?;
        let fleet = exchange.tables.fleet.lock();
        let members = fleet.members(&exchange.service.name)?;
        let zone = fleet
            .get(&self.chosen.id)
            .map(|state| state.entry.zone.clone());
        let query = PathQuery {
            model,
            size: exchange.size,
            zone: zone.as_deref().unwrap_or(&exchange.tables.zone),
            avoid: failing,
            max_pause: Duration::ZERO,
            preferred_zone: None,
        };
        let now = Instant::now();
        let mut repaired = path.clone();
        loop {
            let mut hops = repaired.hops.iter();
            match hops.position(|hop| failing.contains(&hop.target)) {
                None => return Some(repaired),
                Some(0) => return None,
                Some(position) => {
                    let draw = rand::random;
                    repaired = repair_path(members, query, &repaired, position, now, draw)?;
                }
            }
        }
    }

    async fn send_move_order(&self, path: &EnginePath) -> MoveResult {
        let id = &self.exchange.outgoing.id;
        let address = self.chosen.address;
        let request = Request::post(names::ORDER_PATH)
            .header(http::header::HOST, address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(names::TARGET_INSTANCE, platform_id(&self.chosen.id))
            .body(Full::new(Bytes::from(order::repath_body(id, path))));
        let Ok(request) = request else {
            return MoveResult::NoReply;
        };
        let (tables, target) = (&self.exchange.tables, &self.chosen.id);
        let response = call_target(tables, target, address, request, MOVE_TIMEOUT).await;
        let status = response.as_ref().map(|reply| reply.status);
        let is_done = matches!(status, Ok(StatusCode::OK | StatusCode::ACCEPTED));
        let done = if is_done { "moved" } else { "move_refused" };
        self.exchange.tables.metrics.repaired(done);
        log::info!(
            request:% = id,
            silent_ms = self.last_progress.elapsed().as_millis() as u64,
            path:% = order::path_value(path),
            response:? = status.map(|status| status.as_u16());
            "moved"
        );
        match response {
            Ok(reply) => {
                self.exchange
                    .tables
                    .observe_order_reply(&self.chosen.id, &reply);
                match is_done {
                    true => MoveResult::Done,
                    false => MoveResult::Refused(self.record_refusing_engine(&reply.body)),
                }
            }
            Err(_) => MoveResult::NoReply,
        }
    }

    /// Records a failure of the engine that could not take over, and returns its id.
    fn record_refusing_engine(&self, body: &[u8]) -> Option<TargetId> {
        let address = order::refusing_engine(body)?;
        let mut fleet = self.exchange.tables.fleet.lock();
        let id = fleet.id_at(&self.exchange.service.name, address)?;
        fleet.observe_failure(&id, Instant::now());
        Some(id)
    }
}

/// Result of an order to the first engine to use a new path.
enum MoveResult {
    Done,
    /// An engine of the path cannot take its part; `Some` if it is named.
    Refused(Option<TargetId>),
    NoReply,
}
