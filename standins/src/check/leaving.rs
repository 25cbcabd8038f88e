//! Checks that a leaving target receives no new work.

use std::time::Duration;

use jackdawwick::collections::FastSet;

use super::{Guarantee, RunHistory, TargetLeave, TargetSteps, Violation};

/// Checks that no session began on a leaving target more than `grace` after it was marked
/// as leaving.
pub fn check_leaving(history: &RunHistory, grace: Duration) -> Vec<Violation> {
    let mut violations = Vec::new();
    for leave in &history.leaves {
        let engines = history.steps.iter();
        for engine in engines.filter(|engine| engine.target == leave.target) {
            violations.extend(late_sessions(engine, leave, grace));
        }
    }
    violations
}

fn late_sessions(engine: &TargetSteps, leave: &TargetLeave, grace: Duration) -> Vec<Violation> {
    let latest = leave.at_micros + grace.as_micros() as u64;
    let mut known = FastSet::default();
    let mut violations = Vec::new();
    for record in &engine.records {
        let is_new = known.insert((&record.request, record.attempt, record.stage));
        if is_new && record.at_micros > latest {
            let late = Duration::from_micros(record.at_micros - leave.at_micros);
            let detail = format!(
                "{} began a session {late:.1?} after the target was marked as leaving",
                record.request
            );
            let guarantee = Guarantee::NoNewWork;
            violations.push(Violation::new(guarantee, &engine.target, detail));
        }
    }
    violations
}
