//! Each checker accepts a correct history and detects a faulty one.

use std::time::{Duration, Instant};

use http::StatusCode;
use jackdawwick::api::wire::{RefusalBody, StreamEvent};
use jackdawwick::reason::RefusalReason;
use standins::caller::{CallResponse, GenerationResponse, ReceivedEvent};
use standins::check::{
    CallHistory, GenerationHistory, Guarantee, RunHistory, TargetLeave, TargetSteps, check_all,
};
use standins::engine::{StepKind, StepRecord};
use standins::reference::{EMPTY_KV_STATE, generate, run_layer, token_of};
use standins::service::CallRecord;

const MODEL: &str = "model";
const VERSION: &str = "v1";
const STAGES: u32 = 2;
const STAGE_LAYERS: u32 = 2;
const LAYERS: u32 = STAGES * STAGE_LAYERS;
const PROMPT: [u64; 3] = [7, 8, 9];
const TOKENS: u64 = 3;
const GRACE: Duration = Duration::from_secs(2);

fn received(event: StreamEvent) -> ReceivedEvent {
    let at = Instant::now();
    ReceivedEvent { at, event }
}

fn generation_response(events: Vec<StreamEvent>) -> GenerationResponse {
    GenerationResponse {
        sent: Instant::now(),
        status: Some(StatusCode::OK),
        events: events.into_iter().map(received).collect(),
        refusal: None,
        broken: false,
        ended: Instant::now(),
    }
}

fn refused() -> RefusalBody {
    RefusalBody::not_run(RefusalReason::QueueFull, "the queue is full")
}

/// Returns the steps of a run: each position passes through both stages before the next.
fn run_steps(run: &str) -> Vec<StepRecord> {
    let right = generate(MODEL, VERSION, LAYERS, &PROMPT, TOKENS as usize);
    let inputs = PROMPT
        .iter()
        .chain(&right)
        .take(PROMPT.len() + right.len() - 1);
    let mut states = [EMPTY_KV_STATE; LAYERS as usize];
    let mut records = Vec::new();
    for (position, input) in (0..).zip(inputs) {
        let mut value = *input;
        for stage in 0..STAGES {
            let first = stage * STAGE_LAYERS;
            let layers: Vec<u32> = (first..first + STAGE_LAYERS).collect();
            let input = value;
            for layer in &layers {
                let state = &mut states[*layer as usize];
                let outcome = run_layer(MODEL, VERSION, *layer, *state, value);
                *state = outcome.kv_state;
                value = outcome.output;
            }
            if stage + 1 == STAGES {
                value = token_of(value);
            }
            records.push(StepRecord {
                order: records.len() as u64,
                request: run.into(),
                attempt: 0,
                stage: stage as usize,
                model: MODEL.into(),
                version: VERSION.into(),
                layers,
                position,
                input,
                output: value,
                kind: StepKind::Ran,
                at_micros: 1_000_000 + position,
            });
        }
    }
    records
}

/// Returns a correct history of one complete generation and one settled call.
fn correct_history() -> RunHistory {
    let tokens = generate(MODEL, VERSION, LAYERS, &PROMPT, TOKENS as usize);
    let mut events: Vec<StreamEvent> = (0..)
        .zip(tokens)
        .map(|(number, token)| StreamEvent::Token { number, token })
        .collect();
    events.push(StreamEvent::Done { count: TOKENS });
    RunHistory {
        steps: vec![TargetSteps {
            target: "engine".into(),
            records: run_steps("request~1-1"),
        }],
        calls: vec![call_record("call")],
        generations: vec![GenerationHistory {
            request: "request".into(),
            organisation: "desk".into(),
            model: MODEL.to_owned(),
            version: VERSION.to_owned(),
            layers: LAYERS,
            prompt: PROMPT.to_vec(),
            max_tokens: TOKENS,
            responses: vec![generation_response(events)],
        }],
        service_calls: vec![CallHistory {
            request: "call".into(),
            organisation: "desk".into(),
            key: Some("key".to_owned()),
            replies: vec![Some(reply(StatusCode::OK, Vec::new()))],
            lost_sends: 0,
        }],
        leaves: Vec::new(),
    }
}

fn reply(status: StatusCode, body: Vec<u8>) -> CallResponse {
    CallResponse {
        status,
        body: body.into(),
    }
}

fn call_record(request: &str) -> CallRecord {
    CallRecord {
        order: 100,
        request: Some(request.into()),
        idempotency_key: Some("key".into()),
        operation: "settle".to_owned(),
        body: serde_json::Value::Null,
        at_micros: 0,
    }
}

/// Returns the guarantees that a correct history violates after `fault` changed it.
fn violated_guarantees<F>(fault: F) -> Vec<Guarantee>
where
    F: FnOnce(&mut RunHistory),
{
    let mut history = correct_history();
    fault(&mut history);
    let violations = check_all(&history, GRACE);
    let mut guarantees: Vec<_> = violations
        .iter()
        .map(|violation| violation.guarantee)
        .collect();
    guarantees.dedup();
    guarantees
}

fn records(history: &mut RunHistory) -> &mut Vec<StepRecord> {
    &mut history.steps[0].records
}

fn events(history: &mut RunHistory) -> &mut Vec<ReceivedEvent> {
    &mut history.generations[0].responses[0].events
}

#[test]
fn a_correct_history_has_no_violations() {
    assert_eq!(violated_guarantees(|_| {}), []);
}

#[test]
fn recomputation_is_allowed_under_a_later_attempt_alone() {
    let again = |attempt: u32| {
        move |history: &mut RunHistory| {
            let mut again = run_steps("request~1-1");
            for (order, record) in (50..).zip(&mut again) {
                (record.order, record.attempt) = (order, attempt);
            }
            records(history).extend(again);
        }
    };
    assert_eq!(violated_guarantees(again(1)), []);
    assert_eq!(violated_guarantees(again(0)), [Guarantee::LayersOnce]);
}

#[test]
fn wrong_layers_are_noticed() {
    let skipped = |history: &mut RunHistory| drop(records(history)[6].layers.drain(..1));
    let doubled = |history: &mut RunHistory| records(history)[7].layers.insert(0, 2);
    let swapped = |history: &mut RunHistory| records(history)[6].layers.swap(0, 1);
    let missing_stage = |history: &mut RunHistory| drop(records(history).remove(6));
    let other_input = |history: &mut RunHistory| records(history)[7].input ^= 1;
    let prompt_skipped = |history: &mut RunHistory| drop(records(history).drain(..2));
    let too_early = |history: &mut RunHistory| {
        let records = records(history);
        let (sixth, seventh) = (records[6].order, records[7].order);
        (records[6].order, records[7].order) = (seventh, sixth);
    };
    let other_run = |history: &mut RunHistory| records(history)[6].request = "request~1-2".into();
    let faults: [fn(&mut RunHistory); 8] = [
        skipped,
        doubled,
        swapped,
        missing_stage,
        other_input,
        prompt_skipped,
        too_early,
        other_run,
    ];
    for (index, fault) in faults.into_iter().enumerate() {
        assert_eq!(
            violated_guarantees(fault),
            [Guarantee::LayersOnce],
            "{index}"
        );
    }
}

#[test]
fn a_response_with_gaps_repeats_or_a_wrong_count_is_noticed() {
    let gap = |history: &mut RunHistory| drop(events(history).remove(1));
    let twice = |history: &mut RunHistory| {
        let token = events(history)[1].clone();
        events(history).insert(1, token);
    };
    let short = |history: &mut RunHistory| {
        events(history).drain(2..);
        events(history).push(received(StreamEvent::Done { count: 2 }));
    };
    let miscounted =
        |history: &mut RunHistory| events(history)[3] = received(StreamEvent::Done { count: 4 });
    let faults: [fn(&mut RunHistory); 4] = [gap, twice, short, miscounted];
    for (index, fault) in faults.into_iter().enumerate() {
        assert_eq!(
            violated_guarantees(fault),
            [Guarantee::CompleteResponse],
            "{index}"
        );
    }
    // The token of another request is also one that no chain of this request returned.
    let foreign = violated_guarantees(|history| {
        events(history)[1] = received(StreamEvent::Token {
            number: 1,
            token: 1,
        });
    });
    assert_eq!(
        foreign,
        [Guarantee::LayersOnce, Guarantee::CompleteResponse]
    );
}

#[test]
fn a_request_that_ran_although_refused_as_not_run_is_noticed() {
    let generation = violated_guarantees(|history| {
        let response = &mut history.generations[0].responses[0];
        response.events.clear();
        response.refusal = Some(refused());
    });
    assert_eq!(generation, [Guarantee::NotRun]);
    let call = violated_guarantees(|history| {
        let body = serde_json::to_vec(&refused()).expect("a refusal can be written");
        let refusal = reply(StatusCode::SERVICE_UNAVAILABLE, body);
        history.service_calls[0].replies = vec![Some(refusal)];
    });
    assert_eq!(call, [Guarantee::NotRun]);
}

#[test]
fn a_key_that_ran_twice_is_noticed_also_under_two_request_ids() {
    let same = violated_guarantees(|history| history.calls.push(call_record("call")));
    assert_eq!(same, [Guarantee::AtMostOnce]);
    let other = violated_guarantees(|history| {
        let mut call = history.service_calls[0].clone();
        call.request = "call-2".into();
        history.service_calls.push(call);
        history.calls.push(call_record("call-2"));
    });
    assert_eq!(other, [Guarantee::AtMostOnce]);
}

#[test]
fn a_new_session_on_a_leaving_target_is_noticed_after_the_grace() {
    let leaving = |at_micros| {
        move |history: &mut RunHistory| {
            let target = "engine".into();
            history.leaves.push(TargetLeave { target, at_micros });
            records(history)
                .iter_mut()
                .for_each(|record| record.at_micros += GRACE.as_micros() as u64);
        }
    };
    assert_eq!(violated_guarantees(leaving(1_000_000)), []);
    assert_eq!(
        violated_guarantees(leaving(999_999)),
        [Guarantee::NoNewWork]
    );
}

#[test]
fn a_request_without_exactly_one_final_response_is_noticed() {
    let unanswered = violated_guarantees(|history| drop(events(history).pop()));
    assert_eq!(unanswered, [Guarantee::SingleResponse]);
    let twice = violated_guarantees(|history| {
        let mut closing = generation_response(vec![StreamEvent::Done { count: TOKENS }]);
        closing.broken = false;
        history.generations[0].responses.push(closing);
    });
    assert_eq!(twice, [Guarantee::SingleResponse]);
    let lost_call = violated_guarantees(|history| history.service_calls[0].replies = vec![None]);
    assert_eq!(lost_call, [Guarantee::SingleResponse]);
    // After an entry host ended, the caller resumes with the tokens that it holds.
    let resumed = violated_guarantees(|history| {
        let responses = &mut history.generations[0].responses;
        let rest = responses[0].events.split_off(1);
        responses[0].broken = true;
        let mut second = generation_response(Vec::new());
        second.events = rest;
        responses.push(second);
    });
    assert_eq!(resumed, []);
}
