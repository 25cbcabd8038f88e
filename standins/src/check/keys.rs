//! Checks that a non-idempotent request runs at most once.

use std::collections::BTreeMap;

use jackdawwick::collections::FastMap;

use super::history::caller_request;
use super::{Guarantee, RunHistory, Violation};

/// Checks that no idempotency key of an organisation was executed twice.
pub fn check_at_most_once(history: &RunHistory) -> Vec<Violation> {
    let keyed = history.service_calls.iter().filter_map(|call| {
        let key = call.key.as_deref()?;
        Some((&*call.request, (&*call.organisation, key)))
    });
    let keys: FastMap<&str, (&str, &str)> = keyed.collect();
    let mut runs: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for record in &history.calls {
        let request = record.request.as_deref().map(caller_request);
        if let Some(key) = request.and_then(|request| keys.get(request)) {
            *runs.entry(*key).or_default() += 1;
        }
    }
    let repeated = runs.into_iter().filter(|(_, count)| *count > 1);
    repeated
        .map(|((organisation, key), count)| {
            let subject = format!("{organisation}, key {key}");
            let detail = format!("ran {count} times");
            Violation::new(Guarantee::AtMostOnce, &subject, detail)
        })
        .collect()
}
