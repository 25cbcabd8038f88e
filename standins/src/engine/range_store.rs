//! Layer ranges that an engine holds, and the orders that change them.

use std::time::{Duration, Instant};

use jackdawwick::ids::LogOffset;
use jackdawwick::target::wire::{
    EngineRole, LoadedRange, StateOrder, StepRequest, TargetRefusalKind, TargetState,
};

use super::settings::FencingMode;

/// Layer ranges that are loaded or being loaded.
#[derive(Debug)]
pub(super) struct RangeStore {
    fencing: FencingMode,
    load_time: Duration,
    loaded: Vec<LoadedRange>,
    loading: Vec<LoadingRange>,
    role: EngineRole,
    highest_fencing: Option<LogOffset>,
}

#[derive(Debug)]
struct LoadingRange {
    range: LoadedRange,
    ready_at: Instant,
}

impl RangeStore {
    pub(super) fn new(
        fencing: FencingMode,
        load_time: Duration,
        loaded: Vec<LoadedRange>,
        role: EngineRole,
    ) -> Self {
        Self {
            fencing,
            load_time,
            loaded,
            loading: Vec::new(),
            role,
            highest_fencing: None,
        }
    }

    /// Executes an order, or refuses it if its fencing number is older than the highest
    /// one received.
    pub(super) fn order(
        &mut self,
        order: StateOrder,
        now: Instant,
    ) -> Result<(), TargetRefusalKind> {
        self.finish_loading(now);
        if self.fencing == FencingMode::Checks {
            let is_old = |highest| order.fencing < highest;
            if self.highest_fencing.is_some_and(is_old) {
                return Err(TargetRefusalKind::OldFencing);
            }
            self.highest_fencing = Some(order.fencing);
        }
        self.role = order.role;
        self.loaded.retain(|range| order.loaded.contains(range));
        self.loading
            .retain(|loading| order.loaded.contains(&loading.range));
        for range in order.loaded {
            let is_loading = self.loading.iter().any(|loading| loading.range == range);
            if !is_loading && !self.loaded.contains(&range) {
                let ready_at = now + self.load_time;
                self.loading.push(LoadingRange { range, ready_at });
            }
        }
        self.finish_loading(now);
        Ok(())
    }

    fn finish_loading(&mut self, now: Instant) {
        let (ready, loading) = std::mem::take(&mut self.loading)
            .into_iter()
            .partition(|loading| loading.ready_at <= now);
        self.loading = loading;
        let ready: Vec<LoadingRange> = ready;
        self.loaded
            .extend(ready.into_iter().map(|loading| loading.range));
    }

    /// Returns whether a loaded range covers the layers of `order`.
    pub(super) fn holds(&mut self, order: &StepRequest, now: Instant) -> bool {
        self.finish_loading(now);
        self.loaded.iter().any(|range| {
            range.model == order.model
                && range.version == order.version
                && range.first_layer <= order.first_layer
                && order.first_layer <= order.last_layer
                && order.last_layer <= range.last_layer
        })
    }

    pub(super) fn state(&mut self, leaving: bool, now: Instant) -> TargetState {
        self.finish_loading(now);
        let loading = self.loading.iter().map(|loading| loading.range.clone());
        TargetState {
            loaded: self.loaded.clone(),
            loading: loading.collect(),
            role: self.role,
            leaving,
            fencing: self.highest_fencing,
        }
    }
}
