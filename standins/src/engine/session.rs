//! A session: the KV state and the outputs of the positions that have run.

use std::sync::Arc;

use jackdawwick::collections::FastMap;
use jackdawwick::ids::{LayerIndex, ModelId, TokenPosition, VersionId};
use jackdawwick::target::wire::{CacheExport, StepRequest, StepResponse};
use parking_lot::Mutex;
use tokio::sync::watch;

use super::settings::EngineFaults;
use crate::reference::{EMPTY_KV_STATE, run_layer_with, token_of, weights};

/// One session. Only one step at a time uses it.
#[derive(Debug)]
pub(super) struct EngineSession {
    /// Locked during the whole step, so that a repeated step waits for the first one
    /// and then finds its outputs.
    pub(super) data: tokio::sync::Mutex<SessionData>,
    closed: watch::Sender<bool>,
}

impl EngineSession {
    fn new(data: SessionData) -> Self {
        Self {
            data: tokio::sync::Mutex::new(data),
            closed: watch::Sender::new(false),
        }
    }

    /// Waits until the session has been cancelled or replaced.
    pub(super) async fn closed(&self) {
        let _ = self.closed.subscribe().wait_for(|closed| *closed).await;
    }

    pub(super) fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }
}

/// Sessions by name.
#[derive(Debug, Default)]
pub(super) struct SessionTable {
    sessions: Mutex<FastMap<String, Arc<EngineSession>>>,
}

impl SessionTable {
    pub(super) fn find(&self, name: &str) -> Option<Arc<EngineSession>> {
        self.sessions.lock().get(name).cloned()
    }

    /// Returns the session that `order` names, and opens it if it does not exist.
    pub(super) fn find_or_open(&self, order: &StepRequest) -> Arc<EngineSession> {
        let mut sessions = self.sessions.lock();
        let session = sessions.entry(order.label.session());
        let open = || Arc::new(EngineSession::new(SessionData::open(order)));
        Arc::clone(session.or_insert_with(open))
    }

    /// Stores an imported session, replacing any other of the same name.
    pub(super) fn import(&self, name: &str, export: CacheExport) {
        let session = Arc::new(EngineSession::new(SessionData::import(export)));
        let replaced = self.sessions.lock().insert(name.to_owned(), session);
        if let Some(replaced) = replaced {
            replaced.closed.send_replace(true);
        }
    }

    pub(super) fn close(&self, name: &str) {
        let session = self.sessions.lock().remove(name);
        if let Some(session) = session {
            session.closed.send_replace(true);
        }
    }

    pub(super) fn close_all(&self) {
        let sessions = std::mem::take(&mut *self.sessions.lock());
        for session in sessions.into_values() {
            session.closed.send_replace(true);
        }
    }
}

/// Contents of a session.
#[derive(Debug)]
pub(super) struct SessionData {
    model: ModelId,
    version: VersionId,
    first_layer: LayerIndex,
    last_layer: LayerIndex,
    weights: u64,
    kv_states: Vec<u64>,
    outputs: Vec<u64>,
    pub(super) last_response: Option<StepResponse>,
}

/// Result of running one position.
#[derive(Debug)]
pub(super) struct PositionRun {
    pub(super) layers: Vec<LayerIndex>,
    pub(super) output: u64,
}

impl SessionData {
    fn open(order: &StepRequest) -> Self {
        let layers = order.last_layer.saturating_sub(order.first_layer) + 1;
        Self {
            model: order.model.clone(),
            version: order.version.clone(),
            first_layer: order.first_layer,
            last_layer: order.last_layer,
            weights: weights(&order.model, &order.version),
            kv_states: vec![EMPTY_KV_STATE; layers as usize],
            outputs: Vec::new(),
            last_response: None,
        }
    }

    fn import(export: CacheExport) -> Self {
        Self {
            weights: weights(&export.model, &export.version),
            model: export.model,
            version: export.version,
            first_layer: export.first_layer,
            last_layer: export.last_layer,
            kv_states: export.layers,
            outputs: export.outputs,
            last_response: None,
        }
    }

    pub(super) fn export(&self) -> CacheExport {
        CacheExport {
            model: self.model.clone(),
            version: self.version.clone(),
            first_layer: self.first_layer,
            last_layer: self.last_layer,
            next_position: self.next_position(),
            layers: self.kv_states.clone(),
            outputs: self.outputs.clone(),
        }
    }

    pub(super) fn next_position(&self) -> TokenPosition {
        self.outputs.len() as TokenPosition
    }

    /// Returns whether the order has the model, version and layers of this session.
    pub(super) fn matches(&self, order: &StepRequest) -> bool {
        self.model == order.model
            && self.version == order.version
            && self.first_layer == order.first_layer
            && self.last_layer == order.last_layer
    }

    /// Returns the output of a position that has run.
    pub(super) fn output(&self, position: TokenPosition) -> Option<u64> {
        self.outputs.get(position as usize).copied()
    }

    /// Runs the layers on the input of the next position.
    pub(super) fn run_next(
        &mut self,
        input: u64,
        model_layers: LayerIndex,
        faults: &EngineFaults,
    ) -> PositionRun {
        let mut layers = Vec::with_capacity(self.kv_states.len());
        let mut value = input;
        for (kv_state, layer) in self.kv_states.iter_mut().zip(self.first_layer..) {
            for _ in 0..run_count(layer, faults) {
                let outcome = run_layer_with(self.weights, layer, *kv_state, value);
                *kv_state = outcome.kv_state;
                value = outcome.output;
                layers.push(layer);
            }
        }
        let is_last = self.last_layer + 1 == model_layers;
        let output = if is_last { token_of(value) } else { value };
        self.outputs.push(output);
        PositionRun { layers, output }
    }
}

fn run_count(layer: LayerIndex, faults: &EngineFaults) -> usize {
    match layer {
        layer if faults.skip_layer == Some(layer) => 0,
        layer if faults.double_layer == Some(layer) => 2,
        _ => 1,
    }
}
