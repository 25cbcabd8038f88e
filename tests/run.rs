//! The run's state machine, one situation at a time.

use std::time::{Duration, Instant};

use jackdawwick::run::{PlannedStage, RunDecision, RunEvent, RunLimits, RunMachine, RunPlan};
use jackdawwick::target::wire::{StepAnswer, StepOrder};

fn plan(now: Instant) -> RunPlan {
    let stage = |target: &str, first_layer, last_layer| PlannedStage {
        target: target.into(),
        first_layer,
        last_layer,
    };
    RunPlan {
        request: "r".into(),
        model: "m".into(),
        version: "v".into(),
        stages: vec![stage("a", 0, 3), stage("b", 4, 7)],
        prompt: vec![10, 11, 12],
        already_delivered: 0,
        max_tokens: 2,
        deadline: now + Duration::from_secs(60),
        priority: 3,
    }
}

fn sent(decisions: &[RunDecision]) -> (String, StepOrder) {
    match decisions {
        [.., RunDecision::SendStep { target, order, .. }] => (target.to_string(), order.clone()),
        other => panic!("no step sent: {other:?}"),
    }
}

fn answered(step: &(String, StepOrder), outputs: &[u64]) -> RunEvent {
    RunEvent::StepAnswered {
        target: step.0.as_str().into(),
        answer: StepAnswer {
            label: step.1.label.clone(),
            position: step.1.position,
            outputs: outputs.to_vec(),
        },
    }
}

#[test]
fn positions_travel_the_stages_in_order() {
    let now = Instant::now();
    let mut machine = RunMachine::new(plan(now), RunLimits::default());

    let first = sent(&machine.handle(RunEvent::Started, now));
    assert_eq!(first.0, "a");
    assert_eq!(
        (first.1.position, &first.1.inputs[..]),
        (0, &[10, 11, 12][..])
    );

    let second = sent(&machine.handle(answered(&first, &[20, 21, 22]), now));
    assert_eq!(second.0, "b");
    assert_eq!(
        (second.1.position, &second.1.inputs[..]),
        (0, &[20, 21, 22][..])
    );

    let decisions = machine.handle(answered(&second, &[7, 8, 9]), now);
    assert_eq!(
        decisions[0],
        RunDecision::DeliverToken {
            number: 0,
            token: 9
        }
    );
    let third = sent(&decisions);
    assert_eq!(third.0, "a");
    assert_eq!((third.1.position, &third.1.inputs[..]), (3, &[9][..]));

    let fourth = sent(&machine.handle(answered(&third, &[23]), now));
    let decisions = machine.handle(answered(&fourth, &[5]), now);
    assert_eq!(
        decisions[0],
        RunDecision::DeliverToken {
            number: 1,
            token: 5
        }
    );
    assert!(matches!(decisions.last(), Some(RunDecision::Finish(_))));
    assert!(machine.is_finished());
}
