//! Checks that each request receives its own complete response exactly once.

use jackdawwick::api::wire::StreamEvent;

use super::{GenerationHistory, Guarantee, RunHistory, Violation};
use crate::caller::GenerationResponse;
use crate::reference;

/// Checks that tokens are numbered without gaps and are the expected ones for the
/// request, and that the closing event counts them.
pub fn check_complete_responses(history: &RunHistory) -> Vec<Violation> {
    let problems = history.generations.iter().filter_map(|generation| {
        let detail = check_tokens(generation).err()?;
        let guarantee = Guarantee::CompleteResponse;
        Some(Violation::new(guarantee, &generation.request, detail))
    });
    problems.collect()
}

fn check_tokens(generation: &GenerationHistory) -> Result<(), String> {
    let received = generation.numbered_tokens();
    let reference_tokens = reference::generate(
        &generation.model,
        &generation.version,
        generation.layers,
        &generation.prompt,
        received.len(),
    );
    for ((number, token), (expected, reference_token)) in
        received.iter().zip((0..).zip(reference_tokens))
    {
        if *number != expected {
            return Err(format!(
                "received token {number}, expected token {expected}"
            ));
        }
        if *token != reference_token {
            return Err(format!(
                "token {number} is {token}, expected {reference_token}"
            ));
        }
    }
    let count = received.len() as u64;
    match generation.closing_count() {
        Some(closing) if closing != count => Err(format!(
            "{count} tokens received, but the closing event counts {closing}"
        )),
        Some(_) if count != generation.max_tokens => Err(format!(
            "{count} tokens received, expected {}",
            generation.max_tokens
        )),
        _ => Ok(()),
    }
}

/// Checks that each request received exactly one final response: only its last response
/// ends with a count or a refusal.
pub fn check_single_response(history: &RunHistory) -> Vec<Violation> {
    let guarantee = Guarantee::SingleResponse;
    let generations = history.generations.iter().filter_map(|generation| {
        let finals = generation
            .responses
            .iter()
            .filter(|response| is_final(response));
        let is_last_final = generation.responses.last().is_some_and(is_final);
        let problem = match finals.count() {
            1 if is_last_final => return None,
            count => format!("{count} final responses"),
        };
        Some(Violation::new(guarantee, &generation.request, problem))
    });
    let calls = history.service_calls.iter().filter_map(|call| {
        let unanswered = call.replies.iter().filter(|reply| reply.is_none());
        let problem = match unanswered.count() {
            0 if !call.replies.is_empty() => return None,
            count => format!("{count} of {} calls without a response", call.replies.len()),
        };
        Some(Violation::new(guarantee, &call.request, problem))
    });
    generations.chain(calls).collect()
}

fn is_final(response: &GenerationResponse) -> bool {
    let has_closing = response.events.iter().any(|received| {
        matches!(
            received.event,
            StreamEvent::Done { .. } | StreamEvent::Error(_)
        )
    });
    has_closing || response.refusal.is_some()
}
