//! What a run of a fleet leaves behind.

use jackdawwick::api::wire::{RefusalBody, StreamEvent};
use jackdawwick::collections::FastMap;
use jackdawwick::ids::{LayerIndex, OrganisationId, RequestId, TargetId, TokenValue};

use crate::caller::{CallResponse, GenerationResponse};
use crate::engine::StepRecord;
use crate::service::CallRecord;

/// What the targets ran and what the callers heard.
#[derive(Debug, Clone, Default)]
pub struct RunHistory {
    /// Steps that ran, engine by engine.
    pub steps: Vec<TargetSteps>,
    /// Calls that ran, on all targets of plain services.
    pub calls: Vec<CallRecord>,
    /// Generations, as their callers saw them.
    pub generations: Vec<GenerationHistory>,
    /// Calls of plain services, as their callers saw them.
    pub service_calls: Vec<CallHistory>,
    /// Targets that were put down as leaving.
    pub leaves: Vec<TargetLeave>,
}

/// Steps of one engine.
#[derive(Debug, Clone)]
pub struct TargetSteps {
    /// The engine.
    pub target: TargetId,
    /// Its record, in order.
    pub records: Vec<StepRecord>,
}

/// One generation.
#[derive(Debug, Clone)]
pub struct GenerationHistory {
    /// Request id that the caller sent.
    pub request: RequestId,
    /// Organisation that asked.
    pub organisation: OrganisationId,
    /// Model asked for.
    pub model: String,
    /// Version that all answers come from.
    pub version: String,
    /// Layers of the model.
    pub layers: LayerIndex,
    /// Prompt sent.
    pub prompt: Vec<TokenValue>,
    /// Tokens asked for.
    pub max_tokens: u64,
    /// Answers heard: more than one if the caller came back with what it held
    /// after an entry host had died.
    pub answers: Vec<GenerationResponse>,
}

impl GenerationHistory {
    /// Numbers and tokens heard, over all answers.
    pub fn numbered_tokens(&self) -> Vec<(u64, TokenValue)> {
        let token = |event: &StreamEvent| match event {
            StreamEvent::Token { number, token } => Some((*number, *token)),
            _ => None,
        };
        let answers = self.answers.iter();
        let events = answers.flat_map(|answer| &answer.events);
        events.filter_map(|heard| token(&heard.event)).collect()
    }

    /// Refusal that ended the request.
    pub fn refusal(&self) -> Option<&RefusalBody> {
        self.answers.last().and_then(GenerationResponse::refused)
    }

    /// Count of the closing event, if the answer came to one.
    pub fn closing_count(&self) -> Option<u64> {
        let answer = self.answers.last()?;
        answer.events.iter().find_map(|heard| match heard.event {
            StreamEvent::Done { count } => Some(count),
            _ => None,
        })
    }
}

/// One request to a plain service, perhaps sent to several hosts.
#[derive(Debug, Clone)]
pub struct CallHistory {
    /// Request id that the caller sent.
    pub request: RequestId,
    /// Organisation that asked.
    pub organisation: OrganisationId,
    /// Key, if the call was marked as non-idempotent.
    pub key: Option<String>,
    /// The last answer on each way on which it was sent; `None` if there is
    /// none.
    pub replies: Vec<Option<CallResponse>>,
    /// Times that the connection broke and the caller sent it again.
    pub lost_sends: usize,
}

impl CallHistory {
    /// Whether the service answered on any way.
    pub fn is_answered(&self) -> bool {
        let mut replies = self.replies.iter().flatten();
        replies.any(|reply| reply.status.is_success())
    }

    /// Refusals among the replies.
    pub fn refusals(&self) -> impl Iterator<Item = RefusalBody> {
        self.replies.iter().flatten().filter_map(|reply| {
            let is_refusal = !reply.status.is_success();
            is_refusal.then(|| serde_json::from_slice(&reply.body).ok())?
        })
    }
}

/// When a target was put down as leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetLeave {
    /// The target.
    pub target: TargetId,
    /// Microseconds since the Unix epoch.
    pub at_micros: u64,
}

/// The caller's request id in the name under which engines know a run.
pub(super) fn caller_request(run: &str) -> &str {
    run.rsplit_once('~').map_or(run, |(request, _)| request)
}

/// Steps by the caller's request id, in the order in which they ran.
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
