//! Checks that every layer runs exactly once, in order, for each delivered token.
//!
//! For each position that a delivered token depends on there has to be a chain of
//! computed steps of one run, one step per stage. Each stage's output is the next stage's
//! input, the layers of the chain are 0, 1, ... up to the model's last, each once, and
//! each stage ran after the one before it. The last step of the chain at a token's
//! position returned the token. A stage may compute a position again only under a later
//! attempt, such as on a replacement; within an attempt it computes positions in
//! sequence, each once.

use jackdawwick::collections::FastMap;
use jackdawwick::ids::{LayerIndex, RequestId, TokenPosition};

use super::history::steps_by_request;
use super::{GenerationHistory, Guarantee, RunHistory, Violation};
use crate::engine::{StepKind, StepRecord};

/// Checks the layers of every delivered token.
pub fn check_layers(history: &RunHistory) -> Vec<Violation> {
    let steps = steps_by_request(history);
    let mut violations = Vec::new();
    for generation in &history.generations {
        let records = steps.get(&*generation.request);
        let records: Vec<&StepRecord> = records.into_iter().flatten().copied().collect();
        if let Err(detail) = check_generation(generation, &records) {
            let guarantee = Guarantee::LayersOnce;
            violations.push(Violation::new(guarantee, &generation.request, detail));
        }
    }
    violations
}

fn check_generation(generation: &GenerationHistory, records: &[&StepRecord]) -> Result<(), String> {
    let computed: Vec<&StepRecord> = records
        .iter()
        .filter(|record| record.kind == StepKind::Ran)
        .copied()
        .collect();
    check_sessions(&computed)?;
    let mut by_position: FastMap<TokenPosition, Vec<&StepRecord>> = FastMap::default();
    for record in computed {
        by_position.entry(record.position).or_default().push(record);
    }
    let tokens = generation.numbered_tokens();
    let prompt = generation.prompt.len() as u64;
    for (number, token) in &tokens {
        let position = prompt + number - 1;
        let steps = by_position.get(&position).map_or(&[][..], Vec::as_slice);
        let ends = steps.iter().filter(|step| step.output == *token);
        check_chain(steps, ends, generation.layers)
            .map_err(|problem| format!("token {number}: {problem}"))?;
    }
    // The KV state that the first token depends on comes from the whole prompt.
    let prefix = if tokens.is_empty() { 0 } else { prompt - 1 };
    for position in 0..prefix {
        let steps = by_position.get(&position).map_or(&[][..], Vec::as_slice);
        check_chain(steps, steps.iter(), generation.layers)
            .map_err(|problem| format!("prompt position {position}: {problem}"))?;
    }
    Ok(())
}

/// Checks that each stage computes positions in sequence within one attempt.
fn check_sessions(computed: &[&StepRecord]) -> Result<(), String> {
    let mut last: FastMap<(&RequestId, u32, usize), TokenPosition> = FastMap::default();
    for record in computed {
        let session = (&record.request, record.attempt, record.stage);
        match last.insert(session, record.position) {
            Some(before) if record.position != before + 1 => {
                return Err(format!(
                    "{}, attempt {}, stage {}: position {} was computed after position {before}",
                    record.request, record.attempt, record.stage, record.position
                ));
            }
            _ => {}
        }
    }
    Ok(())
}

/// Checks that a chain through all layers ends in one of `ends`.
fn check_chain<'r, I>(steps: &[&'r StepRecord], ends: I, layers: LayerIndex) -> Result<(), String>
where
    I: Iterator<Item = &'r &'r StepRecord>,
{
    let mut is_found = false;
    for end in ends {
        is_found |= is_chain(steps, end, layers);
    }
    match is_found {
        true => Ok(()),
        false => Err(format!("no chain runs layers 0 to {} once", layers - 1)),
    }
}

/// Returns whether `step` and a chain of earlier steps ran the layers `0..end_layer` in
/// order.
fn is_chain(steps: &[&StepRecord], step: &StepRecord, end_layer: LayerIndex) -> bool {
    let count = step.layers.len() as LayerIndex;
    let Some(first) = end_layer.checked_sub(count).filter(|_| count > 0) else {
        return false;
    };
    if !step.layers.iter().copied().eq(first..end_layer) {
        return false;
    }
    if first == 0 {
        return step.stage == 0;
    }
    steps.iter().any(|before| {
        let precedes = before.request == step.request
            && before.stage + 1 == step.stage
            && before.output == step.input
            && before.order < step.order;
        precedes && is_chain(steps, before, first)
    })
}
