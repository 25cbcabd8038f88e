//! Watches an attempt on its path, and finds out why it is silent and which engine stalls it.
//! The attempt is then moved (`repath`) or hedged (`race`).

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::attempt::{AttemptFailure, FailureCause};
use super::choice::ChosenTarget;
use super::closed::is_closed;
use super::exchange::Exchange;
use super::gateway_link::{GatewayUse, PeerWitness};
use super::liveness::LivenessGuard;
use super::probe::{CallFailure, fetch_report};
use super::response_end::may_be_truncated;
use super::silence_guard::SilenceGuard;
use super::tables::InFlightGuard;
use crate::fleet::{EnginePath, PathHop};
use crate::ids::TargetId;
use crate::poison::RunStart;
use crate::reachability::TargetWay;
use crate::silence::{SilenceAction, SilenceCause};

/// Shortest silence after which a request is checked. Reports lag by 200 ms, and passes
/// of a loaded engine take up to about 100 ms.
const MIN_SILENCE: Duration = Duration::from_millis(350);
/// Silence after which a request is checked, in multiples of the longest pause that the
/// route allows.
const SILENCE_FACTOR: f64 = 1.75;
/// Pause between two checks of the same silence: below the lag of a report, so that the
/// first report that shows the fault is used.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Silence after which a stream over a lost link is resumed through a gateway. Links can
/// refuse new connections and carry the open ones on.
const LOST_LINK_SILENCE: Duration = Duration::from_millis(600);

/// An attempt that runs on a target or path.
pub(super) struct PathWatch {
    pub(super) exchange: Arc<Exchange>,
    pub(super) chosen: ChosenTarget,
    pub(super) guard: Option<InFlightGuard>,
    pub(super) liveness: LivenessGuard,
    /// When the target last showed progress on the request.
    pub(super) last_progress: Instant,
    /// When the next check is due.
    check_at: Instant,
    pub(super) moves: u32,
    /// The gateway through which the request runs.
    gateway: Option<GatewayUse>,
    start: RunStart,
    /// The current silence, once a check has found its cause.
    silence: Option<KnownSilence>,
    silence_guard: SilenceGuard,
}

/// What a check of a silent attempt found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SilenceFinding {
    pub(super) cause: SilenceCause,
    /// The target at fault, if one is known: the first engine of the path or a later one.
    pub(super) failed: Option<TargetId>,
}

/// A silence, and what was last decided about it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct KnownSilence {
    finding: SilenceFinding,
    action: SilenceAction,
}

impl SilenceFinding {
    fn new(cause: SilenceCause, failed: Option<TargetId>) -> Self {
        Self { cause, failed }
    }
}

impl PathWatch {
    pub(super) fn open(
        exchange: Arc<Exchange>,
        chosen: ChosenTarget,
        guard: InFlightGuard,
        now: Instant,
    ) -> Self {
        let silence = silence_limit(&exchange).min(exchange.silence_limits().head);
        let (tables, service) = (exchange.tables.clone(), &exchange.service.name);
        let silence_guard = SilenceGuard::open(tables, service, &chosen.id);
        let liveness = LivenessGuard::open(exchange.tables.clone(), chosen.path.as_ref());
        Self {
            exchange,
            liveness,
            chosen,
            guard: Some(guard),
            last_progress: now,
            check_at: now + silence,
            moves: 0,
            gateway: None,
            start: RunStart::default(),
            silence: None,
            silence_guard,
        }
    }

    /// Records an event of the target.
    pub(super) fn observe_event(&mut self, now: Instant) {
        if let Some(guard) = &mut self.guard {
            guard.observe_prefill();
        }
        self.observe_progress(now);
        self.start.observe_event(now);
        if self.start.has_survived(now) {
            self.exchange.record_survival(now);
        }
        if let Some(began) = self.start.survived_parts_since(now) {
            self.exchange.record_part_survival(began, now);
        }
    }

    /// Records progress, which postpones the next check.
    pub(super) fn observe_progress(&mut self, now: Instant) {
        self.silence_guard.set_unresponsive(false);
        if let Some(KnownSilence { finding, .. }) = self.silence.take() {
            self.log_silence(finding.cause, SilenceAction::Ended, now);
            if finding.failed.as_ref() == Some(&self.chosen.id) {
                // It has not ended, so that new requests need not avoid it.
                self.exchange.tables.fleet.lock().readmit(&self.chosen.id);
            }
        }
        self.last_progress = now;
        self.check_at = now + silence_limit(&self.exchange);
    }

    /// Waits until an engine of the path is lost, and forever if none is.
    pub(super) async fn engine_lost(&self) {
        self.liveness.lost().await;
    }

    /// Returns when the request is checked if nothing arrives before.
    pub(super) fn check_at(&self) -> Instant {
        self.check_at
    }

    /// Records a failed attempt if the process of its target has ended.
    pub(super) async fn record_failure(&self, failure: &AttemptFailure) {
        if failure.cause == FailureCause::Broken {
            self.record_break().await;
        }
    }

    /// Records a broken connection to the target if its process has ended.
    pub(super) async fn record_break(&self) {
        let broke = Instant::now();
        let (target, address) = (&self.chosen.id, self.chosen.address);
        if is_closed(&self.exchange.tables, target, address, broke).await {
            self.exchange.record_end(target, &self.start, broke);
        }
    }

    /// Returns whether a response that ended with its connection may be truncated. Behind a
    /// gateway, the gateway decides.
    pub(super) async fn may_be_truncated(&self) -> bool {
        let (target, address) = (&self.chosen.id, self.chosen.address);
        !self.uses_gateway() && may_be_truncated(&self.exchange.tables, target, address).await
    }

    /// Moves the request away from engines that have just ended. If it cannot be moved
    /// now, it is checked again once it is silent.
    pub(super) async fn handle_lost_engine(&mut self) {
        if let Some(lost) = self.unavailable_later_engine(Instant::now()) {
            self.move_away(&lost).await;
        }
    }

    /// Sets the time of the next check, should nothing arrive before.
    pub(super) fn begin_check(&mut self, now: Instant) {
        self.check_at = now + CHECK_INTERVAL;
    }

    /// Moves a silent attempt away from later engines that are at fault, and returns whether
    /// it was moved. The first engine carries out the order.
    ///
    /// An engine that is known to be unavailable may be shutting down: it accepts no
    /// connections or has no entry, but completes the requests that pass it. The request
    /// is therefore moved away from it if possible, and stays where it is otherwise.
    pub(super) async fn repair_silent(&mut self, finding: &SilenceFinding) -> bool {
        match finding.cause {
            SilenceCause::Unresponsive | SilenceCause::Unreachable | SilenceCause::Closing => false,
            SilenceCause::Working | SilenceCause::Stalled | SilenceCause::LostLink => {
                let unavailable = self.unavailable_later_engine(Instant::now());
                match unavailable.or_else(|| finding.failed.clone()) {
                    Some(failed) => self.move_away(&failed).await,
                    None => false,
                }
            }
        }
    }

    /// Records whether the target does not respond.
    pub(super) fn mark_unresponsive(&mut self, finding: &SilenceFinding) {
        let is_unresponsive = finding.cause == SilenceCause::Unresponsive;
        self.silence_guard.set_unresponsive(is_unresponsive);
    }

    /// Notes what was found about the current silence and what was decided, and logs it
    /// unless it is as before.
    pub(super) fn note_silence(&mut self, finding: &SilenceFinding, action: SilenceAction) {
        let finding = finding.clone();
        let known = Some(KnownSilence { finding, action });
        if self.silence != known {
            self.silence = known;
            self.log_known_silence(action);
        }
    }

    /// Logs and counts the end of the current silence, if there is one.
    pub(super) fn end_silence(&mut self, action: SilenceAction) {
        self.log_known_silence(action);
        self.silence = None;
    }

    fn log_known_silence(&self, action: SilenceAction) {
        if let Some(known) = &self.silence {
            self.log_silence(known.finding.cause, action, Instant::now());
        }
    }

    fn log_silence(&self, cause: SilenceCause, action: SilenceAction, now: Instant) {
        let silent = now.saturating_duration_since(self.last_progress);
        self.exchange.tables.metrics.silence(cause, action);
        log::info!(
            request:% = self.exchange.outgoing.id,
            target_id:% = self.chosen.id,
            cause:% = cause.name(),
            action:% = action.name(),
            silent_ms = silent.as_millis() as u64;
            "silence"
        );
    }

    /// Returns what the last check of the current silence found, if there was one.
    pub(super) fn silence_cause(&self) -> Option<SilenceCause> {
        self.silence.as_ref().map(|known| known.finding.cause)
    }

    /// Sets the gateway through which the response comes.
    pub(super) fn set_gateway(&mut self, gateway: Option<GatewayUse>) {
        self.gateway = gateway;
    }

    /// Returns whether the request runs through a gateway.
    pub(super) fn uses_gateway(&self) -> bool {
        self.gateway.is_some()
    }

    /// Returns whether the request was sent over a link that this host has lost since.
    pub(super) fn has_lost_link(&self) -> bool {
        let way = self.exchange.tables.way(&self.chosen.id);
        self.gateway.is_none() && way == TargetWay::Gateway
    }

    /// Returns whether a silent stream is cut off from its target, which shows in no
    /// report of the target. Other hosts have to reach the target: one that is shutting
    /// down accepts no connections and completes the requests that pass it.
    async fn is_cut_off(&self, now: Instant) -> bool {
        let silent = now.saturating_duration_since(self.last_progress);
        let tables = &self.exchange.tables;
        let kind = self.exchange.matched.route.kind;
        kind.is_stream()
            && kind.is_repeatable()
            && silent >= LOST_LINK_SILENCE
            && self.has_lost_link()
            && tables.ask_peers(&self.chosen.id).await == PeerWitness::Reaches
    }

    /// Returns an engine after the first that is known to be removed or silent.
    fn unavailable_later_engine(&self, now: Instant) -> Option<TargetId> {
        let hops = self.chosen.path.as_ref()?.hops.get(1..)?;
        self.unavailable_engines(hops, now).into_iter().next()
    }

    /// Finds out why nothing arrives, by the report of the first engine.
    pub(super) async fn find_cause(&self, now: Instant) -> SilenceFinding {
        let Some(path) = self.chosen.path.as_ref() else {
            return SilenceFinding::new(SilenceCause::Working, None);
        };
        let id = &self.chosen.id;
        let tables = &self.exchange.tables;
        let finding = match fetch_report(tables, id, self.chosen.address, now).await {
            Err(failure) => self.find_silent_target(&failure, now).await,
            Ok(report) => {
                let own = &self.exchange.outgoing.id;
                let mut stalled = report.stalled.iter();
                let stalled = stalled.find(|(request, _)| request == own);
                match stalled.and_then(|(_, address)| self.chosen.target_at(*address)) {
                    Some(stalled) => SilenceFinding::new(SilenceCause::Stalled, Some(stalled)),
                    None => SilenceFinding::new(SilenceCause::Working, None),
                }
            }
        };
        match &finding.failed {
            Some(failed) => {
                tables.metrics.ejected("silent");
                tables.fleet.lock().observe_silence(failed, Instant::now());
            }
            None if self.is_cut_off(now).await => {
                return SilenceFinding::new(SilenceCause::LostLink, None);
            }
            None => self.update_paces(path, now).await,
        }
        finding
    }

    /// Finds out why the first engine gave no report.
    async fn find_silent_target(&self, failure: &CallFailure, now: Instant) -> SilenceFinding {
        let (id, tables) = (&self.chosen.id, &self.exchange.tables);
        if matches!(failure, CallFailure::NoAnswer) {
            return SilenceFinding::new(SilenceCause::Unresponsive, self.failed_if_direct());
        }
        tables.start_asking(id);
        if is_closed(tables, id, self.chosen.address, now).await {
            // This request's connection is open: the engine is shutting down and completes
            // the request.
            return SilenceFinding::new(SilenceCause::Closing, None);
        }
        if self.has_lost_link() && tables.ask_peers(id).await == PeerWitness::Reaches {
            return SilenceFinding::new(SilenceCause::Working, None);
        }
        let cause = match failure {
            CallFailure::Unconnected(_) => SilenceCause::Unreachable,
            CallFailure::NoAnswer | CallFailure::Unusable(_) => SilenceCause::Unresponsive,
        };
        SilenceFinding::new(cause, self.failed_if_direct())
    }

    /// Returns the first engine as the one at fault, unless it was asked through a gateway, which
    /// may be at fault itself.
    fn failed_if_direct(&self) -> Option<TargetId> {
        let id = &self.chosen.id;
        let is_direct = self.exchange.tables.way(id) == TargetWay::Direct;
        is_direct.then(|| id.clone())
    }

    /// Requests the pace of the engines of the path.
    ///
    /// One slow engine in the middle stalls all requests that pass it, while the first
    /// engine, which did its part, appears to be at fault. The cost of paths keeps new
    /// requests away from the slow engine. Running requests stay, since each move is an
    /// order that has a price and makes an engine process all tokens again.
    async fn update_paces(&self, path: &EnginePath, now: Instant) {
        let tables = &self.exchange.tables;
        let due = {
            let mut fleet = tables.fleet.lock();
            let hops = path.hops.iter();
            let due = hops.filter(|hop| fleet.begin_pace_request(&hop.target, now));
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

    /// Returns the engines of these hops that are known to be removed or silent.
    pub(super) fn unavailable_engines(&self, hops: &[PathHop], now: Instant) -> Vec<TargetId> {
        let fleet = self.exchange.tables.fleet.lock();
        let unavailable = |id: &TargetId| fleet.get(id).is_none_or(|state| state.is_silent(now));
        let hops = hops.iter().map(|hop| &hop.target);
        hops.filter(|id| unavailable(id)).cloned().collect()
    }
}

fn silence_limit(exchange: &Exchange) -> Duration {
    let gap = exchange.matched.route.gap_aim.unwrap_or_default();
    gap.mul_f64(SILENCE_FACTOR).max(MIN_SILENCE)
}
