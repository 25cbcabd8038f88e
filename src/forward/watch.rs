//! Watches over a request on its path: finds the engine that holds it up, and
//! moves the request to other engines.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use super::attempt::{self, AttemptFailure, FailureCause};
use super::choice::ChosenTarget;
use super::exchange::Exchange;
use super::probe::{ask, fetch_report};
use super::tables::InFlightGuard;
use crate::fleet::{EnginePath, PathQuery, repair_path};
use crate::ids::TargetId;
use crate::platform::{names, order};
use crate::verdict::RunVerdict;

/// Shortest silence after which a request asks what is wrong. Reports lag by
/// 200 ms; passes of a loaded engine take up to about 100 ms.
const LEAST_SILENCE: Duration = Duration::from_millis(350);
/// Silence after which a request asks, in times of the route's longest pause.
const SILENCE_GAPS: f64 = 1.75;
/// Pause between two questions about the same silence: below the lag of a
/// report, so that the first report that tells is seen.
const ASK_PAUSE: Duration = Duration::from_millis(150);
/// How long the first engine may take to accept a new path.
const MOVE_LIMIT: Duration = Duration::from_millis(400);
/// Moves of one request at the most: each reads its tokens again somewhere.
const MOST_MOVES: u32 = 3;

/// A request on its target or path.
pub(super) struct PathWatch {
    pub(super) exchange: Arc<Exchange>,
    pub(super) chosen: ChosenTarget,
    guard: Option<InFlightGuard>,
    /// When something was last heard of the request.
    heard: Instant,
    /// When the next question may be asked.
    ask_at: Instant,
    moves: u32,
}

/// What a silence means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SilenceVerdict {
    /// The request goes on; nothing is known to be wrong.
    Waiting,
    /// The request cannot go on where it is, because of this target.
    Lost(TargetId),
}

impl PathWatch {
    pub(super) fn open(
        exchange: Arc<Exchange>,
        chosen: ChosenTarget,
        guard: InFlightGuard,
        now: Instant,
    ) -> Self {
        let silence = silence_limit(&exchange);
        Self {
            exchange,
            chosen,
            guard: Some(guard),
            heard: now,
            ask_at: now + silence,
            moves: 0,
        }
    }

    /// An event came from the target.
    pub(super) fn observe_event(&mut self, now: Instant) {
        if let Some(guard) = &mut self.guard {
            guard.observe_read();
        }
        self.observe_sound(now);
    }

    /// Something came from the target.
    pub(super) fn observe_sound(&mut self, now: Instant) {
        self.heard = now;
        self.ask_at = now + silence_limit(&self.exchange);
    }

    /// When to ask what is wrong, if nothing comes until then.
    pub(super) fn ask_at(&self) -> Instant {
        self.ask_at
    }

    /// No longer counts the request on its targets.
    pub(super) fn release(&mut self) {
        self.guard = None;
    }

    /// Sends the request and waits for the head of its answer until `limit`.
    pub(super) async fn send(
        &mut self,
        last_event: Option<&str>,
        limit: Instant,
    ) -> Result<Response<Incoming>, AttemptFailure> {
        let exchange = self.exchange.clone();
        let deadline = exchange.deadline;
        let sent = attempt::send(&exchange.outgoing, &self.chosen, last_event, deadline).await;
        self.await_head(sent?, limit).await
    }

    /// Waits for the head of an answer until `limit`. Meanwhile the request is
    /// moved away from engines that hold it up.
    async fn await_head<F>(
        &mut self,
        head: F,
        limit: Instant,
    ) -> Result<Response<Incoming>, AttemptFailure>
    where
        F: Future<Output = Result<Response<Incoming>, AttemptFailure>>,
    {
        let timed_out = AttemptFailure::new(RunVerdict::MayHaveRun, FailureCause::Timeout);
        tokio::pin!(head);
        loop {
            let pause = self.ask_at.min(limit);
            match tokio::time::timeout_at(pause.into(), &mut head).await {
                Ok(answer) => return answer,
                Err(_) if Instant::now() >= limit => return Err(timed_out),
                Err(_) => match self.judge_silence().await {
                    SilenceVerdict::Waiting => {}
                    SilenceVerdict::Lost(failed) => {
                        let fleet = self.exchange.tables.fleet.lock();
                        let at = fleet.get(&failed).map(|state| state.entry.address);
                        return Err(AttemptFailure { at, ..timed_out });
                    }
                },
            }
        }
    }

    /// Finds out what a silence means, and moves the request if an engine
    /// after the first is at fault.
    pub(super) async fn judge_silence(&mut self) -> SilenceVerdict {
        let now = Instant::now();
        self.ask_at = now + ASK_PAUSE;
        let Some(failed) = self.find_fault(now).await else {
            return SilenceVerdict::Waiting;
        };
        match self.move_away(&failed).await {
            true => SilenceVerdict::Waiting,
            false => SilenceVerdict::Lost(failed),
        }
    }

    /// The engine that holds the request up, if one does.
    async fn find_fault(&self, now: Instant) -> Option<TargetId> {
        let path = self.chosen.path.as_ref()?;
        if let Some(gone) = self.gone_engine(path, now) {
            return Some(gone);
        }
        let id = &self.chosen.id;
        let tables = &self.exchange.tables;
        let failed = match fetch_report(tables, id, self.chosen.address, now).await {
            Err(()) => Some(id.clone()),
            Ok(report) => {
                let own = &self.exchange.outgoing.id;
                let mut stalled = report.stalled.iter();
                let stalled = stalled.find(|(request, _)| request == own);
                stalled.and_then(|(_, address)| self.chosen.at(*address))
            }
        };
        match failed {
            Some(failed) => {
                tables.metrics.ejected("silent");
                tables.fleet.lock().observe_silence(&failed, Instant::now());
                Some(failed)
            }
            None => {
                self.note_paces(path, now).await;
                None
            }
        }
    }

    /// Asks the engines of the path how slow they are.
    ///
    /// One slow engine in the middle holds up all requests that pass it, while
    /// the first engine, which did its part, looks at fault. The cost of paths
    /// keeps new requests away from it; those that run stay, since each move
    /// is an order that is priced, and reads everything again.
    async fn note_paces(&self, path: &EnginePath, now: Instant) {
        let tables = &self.exchange.tables;
        let due = {
            let mut fleet = tables.fleet.lock();
            let hops = path.hops.iter();
            let due = hops.filter(|hop| fleet.ask_pace(&hop.target, now));
            due.collect::<Vec<_>>()
        };
        let reports = due.into_iter().map(|hop| async move {
            let report = fetch_report(tables, &hop.target, hop.address, now).await;
            (hop, report)
        });
        for (hop, report) in futures::future::join_all(reports).await {
            let Ok(report) = report else { continue };
            let now = Instant::now();
            tables
                .fleet
                .lock()
                .observe_pace(&hop.target, report.pace, now);
        }
    }

    /// An engine of the path that is known to be gone or silent.
    fn gone_engine(&self, path: &EnginePath, now: Instant) -> Option<TargetId> {
        let fleet = self.exchange.tables.fleet.lock();
        let gone = |id: &TargetId| fleet.get(id).is_none_or(|state| state.is_silent(now));
        let mut hops = path.hops.iter();
        hops.find(|hop| gone(&hop.target))
            .map(|hop| hop.target.clone())
    }

    /// Puts other engines in the place of `failed`.
    ///
    /// The first engine holds the connection and cannot be replaced so. The
    /// request keeps what all other engines have read, and it is no new
    /// arrival: the retry budget of a few hundred would be used up by the
    /// requests of one lost engine.
    async fn move_away(&mut self, failed: &TargetId) -> bool {
        let Some(path) = self.chosen.path.clone() else {
            return false;
        };
        let position = path.hops.iter().position(|hop| hop.target == *failed);
        let Some(position) = position.filter(|position| *position > 0) else {
            return false;
        };
        if self.moves >= MOST_MOVES {
            return false;
        }
        self.moves += 1;
        let Some(repaired) = self.repair(&path, position) else {
            return false;
        };
        let moved = self.order_move(&repaired).await;
        if moved {
            self.chosen.path = Some(repaired);
            let loads = self.chosen.loads_after(&path);
            let tables = self.exchange.tables.clone();
            self.guard = Some(InFlightGuard::open(tables, loads));
            self.observe_sound(Instant::now());
        }
        moved
    }

    fn repair(&self, path: &EnginePath, position: usize) -> Option<EnginePath> {
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
            avoid: &[],
        };
        repair_path(members, query, path, position, Instant::now(), rand::random)
    }

    async fn order_move(&self, path: &EnginePath) -> bool {
        let id = &self.exchange.outgoing.id;
        let address = self.chosen.address;
        let request = Request::post(names::ORDER_PATH)
            .header(http::header::HOST, address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(names::TARGET_INSTANCE, &*self.chosen.id)
            .body(Full::new(Bytes::from(order::repath_body(id, path))));
        let Ok(request) = request else {
            return false;
        };
        let answer = ask(address, request, MOVE_LIMIT).await;
        let done = matches!(answer, Ok((StatusCode::OK | StatusCode::ACCEPTED, _)));
        let done = if done { "moved" } else { "move_refused" };
        self.exchange.tables.metrics.repaired(done);
        log::info!(
            request:% = id,
            silent_ms = self.heard.elapsed().as_millis() as u64,
            path:% = order::path_value(path),
            answer:? = answer.as_ref().map(|(status, _)| status.as_u16());
            "moved"
        );
        match answer {
            Ok((StatusCode::OK | StatusCode::ACCEPTED, _)) => true,
            Ok((_, body)) => {
                self.note_refusing(&body);
                false
            }
            Err(_) => false,
        }
    }

    /// The engine that could not take the request over.
    fn note_refusing(&self, body: &[u8]) {
        let Some(address) = order::refusing_engine(body) else {
            return;
        };
        let mut fleet = self.exchange.tables.fleet.lock();
        if let Some(id) = fleet.id_at(&self.exchange.service.name, address) {
            fleet.observe_failure(&id, Instant::now());
        }
    }
}

fn silence_limit(exchange: &Exchange) -> Duration {
    let gap = exchange.matched.route.gap_aim.unwrap_or_default();
    gap.mul_f64(SILENCE_GAPS).max(LEAST_SILENCE)
}
