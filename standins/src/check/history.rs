//! History of a run of a fleet.

use jackdawwick::api::wire::{RefusalBody, StreamEvent};
use jackdawwick::collections::FastMap;
use jackdawwick::ids::{LayerIndex, OrganisationId, RequestId, TargetId, TokenValue};

use crate::caller::{CallResponse, GenerationResponse};
use crate::engine::StepRecord;
use crate::service::CallRecord;

/// What the targets ran and what the callers received.
#[derive(Debug, Clone, Default)]
pub struct RunHistory {
    /// Steps that ran, by engine.
    pub steps: Vec<TargetSteps>,
    /// Calls that ran, on all targets of plain services.
    pub calls: Vec<CallRecord>,
    /// Generations, as their callers saw them.
    pub generations: Vec<GenerationHistory>,
    /// Calls of plain services, as their callers saw them.
    pub service_calls: Vec<CallHistory>,
    /// Targets that were marked as leaving.
    pub leaves: Vec<TargetLeave>,
}

/// Steps of one engine.
#[derive(Debug, Clone)]
pub struct TargetSteps {
    /// Id of the engine.
    pub target: TargetId,
    /// Its steps, in the order in which they ran.
    pub records: Vec<StepRecord>,
}

/// One generation request.
#[derive(Debug, Clone)]
pub struct GenerationHistory {
    /// Request id that the caller sent.
    pub request: RequestId,
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Requested model.
    pub model: String,
    /// Version that all responses come from.
    pub version: String,
    /// Number of layers of the model.
    pub layers: LayerIndex,
    /// Prompt of the request.
    pub prompt: Vec<TokenValue>,
    /// Requested number of tokens.
    pub max_tokens: u64,
    /// Responses received: more than one if an entry host ended and the caller resumed
    /// the request at another one.
    pub responses: Vec<GenerationResponse>,
}

impl GenerationHistory {
    /// Returns the numbers and tokens received in all responses.
    pub fn numbered_tokens(&self) -> Vec<(u64, TokenValue)> {
        let token = |event: &StreamEvent| match event {
            StreamEvent::Token { number, token } => Some((*number, *token)),
            _ => None,
        };
        let responses = self.responses.iter();
        let events = responses.flat_map(|response| &response.events);
        events
            .filter_map(|received| token(&received.event))
            .collect()
    }

    /// Returns the refusal that ended the request.
    pub fn refusal(&self) -> Option<&RefusalBody> {
        self.responses.last().and_then(GenerationResponse::refused)
    }

    /// Returns the token count of the closing event, if the last response has one.
    pub fn closing_count(&self) -> Option<u64> {
        let response = self.responses.last()?;
        response
            .events
            .iter()
            .find_map(|received| match received.event {
                StreamEvent::Done { count } => Some(count),
                _ => None,
            })
    }
}

/// One request to a plain service, which may have been sent to several hosts.
#[derive(Debug, Clone)]
pub struct CallHistory {
    /// Request id that the caller sent.
    pub request: RequestId,
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Idempotency key, if the call was marked as non-idempotent.
    pub key: Option<String>,
    /// Last response of each host that the request was sent to; `None` if there was none.
    pub replies: Vec<Option<CallResponse>>,
    /// Number of times that the connection broke and the caller sent the request again.
    pub lost_sends: usize,
}

impl CallHistory {
    /// Returns whether the service responded successfully through any host.
    pub fn is_successful(&self) -> bool {
        let mut replies = self.replies.iter().flatten();
        replies.any(|reply| reply.status.is_success())
    }

    /// Returns the refusals among the responses.
    pub fn refusals(&self) -> impl Iterator<Item = RefusalBody> {
        self.replies.iter().flatten().filter_map(|reply| {
            let is_refusal = !reply.status.is_success();
            is_refusal.then(|| serde_json::from_slice(&reply.body).ok())?
        })
    }
}

/// When a target was marked as leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetLeave {
    /// Id of the target.
    pub target: TargetId,
    /// Microseconds since the Unix epoch.
    pub at_micros: u64,
}

/// Returns the caller's request id from the name by which engines identify a run.
pub(super) fn caller_request(run: &str) -> &str {
    run.rsplit_once('~').map_or(run, |(request, _)| request)
}

/// Groups steps by the caller's request id, in the order in which they ran.
pub(super) fn steps_by_request(history: &RunHistory) -> FastMap<&str, Vec<&StepRecord>> {
    let mut steps: FastMap<&str, Vec<&StepRecord>> = FastMap::default();
    for record in history.steps.iter().flat_map(|engine| &engine.records) {
        let request = caller_request(&record.request);
        steps.entry(request).or_default().push(record);
    }
    for records in steps.values_mut() {
        records.sort_by_key(|record| record.order);
    }
    steps
}
