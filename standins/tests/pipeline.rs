//! Tests of the pipeline simulation: what callers see when engines are slow, full or
//! dead.

use std::time::Duration;

use jackdawwick::fleet::LayerRange;
use standins::pipeline::{
    PathPart, PipelineSimulation, RequestSettings, SimulationEvent, SimulationSettings, SubmitError,
};

const SECOND: Duration = Duration::from_secs(1);

fn range(from: u32, to: u32) -> LayerRange {
    LayerRange { from, to }
}

/// Three engines of 40 layers: 0 holds the first half, 1 and 2 the second.
fn simulation() -> PipelineSimulation {
    let mut simulation = PipelineSimulation::new(SimulationSettings::default());
    for layers in [range(0, 40), range(40, 80), range(40, 80)] {
        let engine = simulation.add_engine("z", "a100");
        simulation.preload(engine, layers);
    }
    simulation
}

fn path(second: usize) -> Vec<PathPart> {
    let part = |engine, layers| PathPart { engine, layers };
    vec![part(0, range(0, 40)), part(second, range(40, 80))]
}

fn request(id: &str, answer: f64) -> RequestSettings {
    RequestSettings {
        id: id.to_owned(),
        path: path(1),
        prompt: 700.0,
        answer,
    }
}

fn run_until(simulation: &mut PipelineSimulation, until: Duration) -> Vec<SimulationEvent> {
    let mut seen = Vec::new();
    while let Some(next) = simulation.next_time().filter(|next| *next <= until) {
        seen.extend(simulation.advance(next));
    }
    seen
}

#[test]
fn a_stream_ends_after_its_tokens() {
    let mut simulation = simulation();
    simulation
        .submit(request("r", 10.0), Duration::ZERO)
        .expect("taken");
    let seen = run_until(&mut simulation, 10 * SECOND);
    let generated = seen.iter().map(|event| match event {
        SimulationEvent::Event {
            generated, last, ..
        } => (*generated, *last),
        other => panic!("{other:?}"),
    });
    let generated = generated.collect::<Vec<_>>();
    assert_eq!(
        generated,
        [(1.0, false), (4.0, false), (7.0, false), (10.0, true)]
    );
    assert!(simulation.status(0).used.abs() < 1e-6);
}

#[test]
fn a_path_is_refused_unless_its_engines_hold_it_and_accept_requests() {
    let mut simulation = simulation();
    let mut wrong = request("r", 10.0);
    wrong.path[1].layers = range(30, 80);
    let taken = simulation.submit(wrong, Duration::ZERO);
    assert_eq!(taken, Err(SubmitError::WrongLayers(1)));
    simulation.set_draining(1, true);
    let taken = simulation.submit(request("r", 10.0), Duration::ZERO);
    assert_eq!(taken, Err(SubmitError::NoCapacity(1)));
}

#[test]
fn a_full_engine_refuses() {
    let mut simulation = simulation();
    let taken = (0..100)
        .map(|index| simulation.submit(request(&format!("r{index}"), 500.0), Duration::ZERO));
    let taken = taken.filter(Result::is_ok).count();
    assert!(taken > 0 && taken < 100, "{taken}");
}

#[test]
fn a_request_at_a_dead_engine_is_reported_and_then_cut() {
    let mut simulation = simulation();
    simulation
        .submit(request("r", 5_000.0), Duration::ZERO)
        .expect("taken");
    run_until(&mut simulation, SECOND);
    simulation.kill(1, SECOND);
    run_until(&mut simulation, SECOND * 2);
    assert_eq!(simulation.stalled(0, SECOND * 2), [("r".to_owned(), 1)]);
    let seen = run_until(&mut simulation, SECOND * 5);
    assert_eq!(seen, [SimulationEvent::Cut { id: "r".to_owned() }]);
}

#[test]
fn a_stalled_request_resumes_at_another_engine() {
    let mut simulation = simulation();
    simulation
        .submit(request("r", 400.0), Duration::ZERO)
        .expect("taken");
    let before = run_until(&mut simulation, SECOND);
    simulation.kill(1, SECOND);
    let moved = simulation.reroute("r", path(2), SECOND + SECOND / 2);
    assert_eq!(moved, Ok(()));
    let after = run_until(&mut simulation, SECOND * 20);
    let lasts = after
        .iter()
        .filter(|event| matches!(event, SimulationEvent::Event { last: true, .. }));
    assert!(!before.is_empty());
    assert_eq!(lasts.count(), 1);
    assert!(
        !after
            .iter()
            .any(|event| matches!(event, SimulationEvent::Cut { .. }))
    );
    assert_eq!(
        simulation.reroute("r", path(1), SECOND * 20),
        Err(SubmitError::Unknown)
    );
}

#[test]
fn an_order_takes_time_and_an_oversized_order_kills_the_engine() {
    let mut simulation = simulation();
    simulation.place(2, range(0, 20), Duration::ZERO);
    assert!(simulation.status(2).busy);
    run_until(&mut simulation, SECOND * 10);
    assert_eq!(simulation.status(2).layers, Some(range(0, 20)));
    assert_eq!(simulation.status(2).orders, 1);
    simulation.place(2, range(0, 60), SECOND * 10);
    assert_eq!(simulation.status(2).layers, None);
    let taken = simulation.submit(
        RequestSettings {
            path: path(2),
            ..request("r", 9.0)
        },
        SECOND * 11,
    );
    assert_eq!(taken, Err(SubmitError::NoCapacity(2)));
}
