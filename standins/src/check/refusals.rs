//! Checks that a request that is reported as not run did not run.

use jackdawwick::collections::FastSet;
use jackdawwick::verdict::RunVerdict;

use super::history::{caller_request, steps_by_request};
use super::{CallHistory, Guarantee, RunHistory, Violation};

/// Checks that no target ran any part of a request whose verdict is `NotRun`.
///
/// A request that was sent several times is checked only if every response reports
/// `NotRun`, as the other attempts may have run. A caller that repeats a call without a
/// key after a lost response receives the verdict of the last attempt only, so such calls
/// are skipped; calls with a key are checked.
pub fn check_not_run(history: &RunHistory) -> Vec<Violation> {
    let steps = steps_by_request(history);
    let calls = history
        .calls
        .iter()
        .filter_map(|call| call.request.as_deref());
    let called: FastSet<&str> = calls.map(caller_request).collect();
    let generations = history.generations.iter().filter(|generation| {
        let refusal = generation.refusal();
        let is_refused = refusal.is_some_and(|body| body.verdict == RunVerdict::NotRun);
        is_refused && generation.responses.len() == 1
    });
    let ran = generations.filter_map(|generation| {
        let ran = steps.get(&*generation.request)?;
        let detail = format!("refused as not run, but {} steps ran", ran.len());
        let guarantee = Guarantee::NotRun;
        Some(Violation::new(guarantee, &generation.request, detail))
    });
    let refused_calls = history.service_calls.iter().filter(|call| is_not_run(call));
    let ran_calls = refused_calls
        .filter(|call| called.contains(&*call.request))
        .map(|call| {
            let detail = "refused as not run, but it ran";
            Violation::new(Guarantee::NotRun, &call.request, detail)
        });
    ran.chain(ran_calls).collect()
}

fn is_not_run(call: &CallHistory) -> bool {
    if call.key.is_none() && call.lost_sends > 0 {
        return false;
    }
    let refusals = call.refusals();
    let not_run = refusals.filter(|body| body.verdict == RunVerdict::NotRun);
    not_run.count() == call.replies.len()
}
