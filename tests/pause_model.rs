//! Compares the pauses that a host observes with the plain list of what targets requested:
//! no request is sent to a target before the end of each of its pauses.

mod placement_support;

use std::time::{Duration, Instant};

use jackdawwick::collections::FastMap;
use jackdawwick::fleet::{
    FleetTable, LayerRange, PathQuery, RequestSize, TargetEntry, choose_path, choose_target,
};
use jackdawwick::ids::TargetId;
use jackdawwick::ingress::EngineModel;
use placement_support::FAST;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

/// Plain targets, which are also the number of engines; each engine holds a half of the
/// layers.
const TARGETS: usize = 4;
/// A request that is sent up to this time after a response may have been on its way.
const GRACE: Duration = Duration::from_millis(500);
/// Largest number of requests that may reach a target between the grace and the end of a
/// pause.
const MAX_ARRIVALS: usize = 2;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A refusal that requests a pause, in milliseconds.
    Pause(usize, u64),
    /// A refusal that requests none.
    Full(usize),
    Success(usize),
    Failure(usize),
    Silence(usize),
    Withheld(usize, u64),
    Heartbeat(usize),
    /// The log drops the target and lists it again.
    Return(usize),
    /// Time passes and requests are sent.
    Requests(u64),
}

/// How a version of the program handles a refusal and a success.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Version {
    Current,
    KeepsLastPause,
    EndsPauseWithSuccess,
    ForgetsRemovedTargets,
}

struct Game {
    version: Version,
    model: EngineModel,
    fleet: FleetTable,
    now: Instant,
    /// All pauses that were requested: target, response and end.
    windows: Vec<(TargetId, Instant, Instant)>,
    sends: Vec<(TargetId, Instant)>,
}

fn entry(index: usize, service: &str, beats: u64) -> TargetEntry {
    let from = if index.is_multiple_of(2) { 0 } else { 40 };
    let layers = (service == "model").then_some(LayerRange {
        from,
        to: from + 40,
    });
    TargetEntry {
        id: format!("{service}-{index}").into(),
        started_ms: None,
        service: service.into(),
        address: format!("10.0.0.{}:{}", index + 1, 80 + beats % 2)
            .parse()
            .expect("an address"),
        zone: if index < 2 { "near" } else { "far" }.into(),
        draining: false,
        kind: layers.map(|_| "fast".into()),
        layers,
    }
}

impl Game {
    fn open(version: Version) -> Self {
        let kinds = [("fast".into(), FAST)];
        let model = EngineModel {
            kinds: kinds.into_iter().collect::<FastMap<_, _>>(),
            ..placement_support::model()
        };
        let mut game = Self {
            version,
            model,
            fleet: FleetTable::default(),
            now: Instant::now(),
            windows: Vec::new(),
            sends: Vec::new(),
        };
        for index in 0..TARGETS {
            game.observe_entries(index, 0);
        }
        game
    }

    fn observe_entries(&mut self, index: usize, beats: u64) {
        for service in ["plain", "model"] {
            self.fleet.observe_entry(entry(index, service, beats));
        }
    }

    fn play(&mut self, step: Step, count: u64) {
        let now = self.now;
        let ids = |index: usize| ["plain", "model"].map(|name| format!("{name}-{index}"));
        match step {
            Step::Pause(index, pause) => {
                let until = now + Duration::from_millis(pause);
                for id in ids(index) {
                    self.fleet.observe_pause(&id, until);
                    self.windows.push((id.as_str().into(), now, until));
                    if let Some(state) = self.fleet.get_mut(&id)
                        && self.version == Version::KeepsLastPause
                    {
                        state.paused_until = Some(until);
                    }
                }
            }
            Step::Full(index) => {
                for id in ids(index) {
                    self.fleet.observe_full(&id, now);
                }
            }
            Step::Success(index) => {
                for id in ids(index) {
                    self.fleet.observe_success(&id, now);
                    if let Some(state) = self.fleet.get_mut(&id)
                        && self.version == Version::EndsPauseWithSuccess
                    {
                        state.paused_until = None;
                    }
                }
            }
            Step::Failure(index) => {
                for id in ids(index) {
                    self.fleet.observe_failure(&id, now);
                }
            }
            Step::Silence(index) => {
                for id in ids(index) {
                    self.fleet.observe_silence(&id, now);
                }
            }
            Step::Withheld(index, wait) => {
                for id in ids(index) {
                    let until = now + Duration::from_millis(wait);
                    self.fleet.observe_withheld(&id, until);
                }
            }
            Step::Heartbeat(index) => self.observe_entries(index, count),
            Step::Return(index) => {
                for id in ids(index) {
                    self.fleet.remove(&id);
                }
                self.observe_entries(index, count);
                if self.version == Version::ForgetsRemovedTargets {
                    for id in ids(index) {
                        if let Some(state) = self.fleet.get_mut(&id) {
                            state.paused_until = None;
                        }
                    }
                }
            }
            Step::Requests(time) => {
                self.now += Duration::from_millis(time);
                self.send_requests();
            }
        }
    }

    /// Sends one request to each service, where there is a choice.
    fn send_requests(&mut self) {
        let now = self.now;
        let members = self.fleet.members("plain").expect("targets");
        let plain = choose_target(members, "near", &[], Duration::ZERO, now, 0.5);
        let query = PathQuery {
            model: &self.model,
            size: RequestSize {
                prompt: 700,
                answer: 200,
            },
            zone: "near",
            avoid: &[],
            max_pause: Duration::ZERO,
            preferred_zone: None,
        };
        let members = self.fleet.members("model").expect("engines");
        let path = choose_path(members, query, now, || 0.5);
        let hops = path.into_iter().flat_map(|path| path.hops);
        let ids = plain.into_iter().chain(hops.map(|hop| hop.target));
        self.sends.extend(ids.map(|id| (id, now)));
    }

    /// Returns the largest number of requests in one window.
    fn worst_window(&self) -> usize {
        let arrivals = self.windows.iter().map(|(id, from, until)| {
            let during = |at: Instant| at > *from + GRACE && at < *until;
            let sends = self.sends.iter();
            sends.filter(|(to, at)| to == id && during(*at)).count()
        });
        arrivals.max().unwrap_or(0)
    }

    /// Returns whether a request was sent to a target in one of its pauses.
    fn has_send_in_pause(&self) -> bool {
        self.windows.iter().any(|(id, from, until)| {
            let mut sends = self.sends.iter();
            sends.any(|(to, at)| to == id && at > from && at < until)
        })
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let target = 0..TARGETS;
    let step = prop_oneof![
        3 => (target.clone(), 0_u64..6000).prop_map(|(index, pause)| Step::Pause(index, pause)),
        1 => target.clone().prop_map(Step::Full),
        2 => target.clone().prop_map(Step::Success),
        1 => target.clone().prop_map(Step::Failure),
        1 => target.clone().prop_map(Step::Silence),
        1 => (target.clone(), 0_u64..2000).prop_map(|(index, wait)| Step::Withheld(index, wait)),
        1 => target.clone().prop_map(Step::Heartbeat),
        1 => target.prop_map(Step::Return),
        12 => (1_u64..300).prop_map(Step::Requests),
    ];
    prop::collection::vec(step, 1..120)
}

fn play(version: Version, steps: &[Step]) -> Game {
    let mut game = Game::open(version);
    for (count, step) in steps.iter().enumerate() {
        game.play(*step, count as u64);
    }
    game
}

fn settings(cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::with_cases(cases)
    }
}

proptest! {
    #![proptest_config(settings(400))]

    /// Guards against requests that are sent to a target in a pause that it requested.
    #[test]
    fn nothing_is_sent_during_a_pause(steps in steps()) {
        let game = play(Version::Current, &steps);
        prop_assert!(!game.has_send_in_pause());
        prop_assert!(game.worst_window() <= MAX_ARRIVALS);
    }
}

/// Checks that faulty versions are found.
#[test]
fn faulty_versions_send_during_a_pause() {
    let faulty = [
        Version::KeepsLastPause,
        Version::EndsPauseWithSuccess,
        Version::ForgetsRemovedTargets,
    ];
    for version in faulty {
        let mut runner = TestRunner::new(settings(400));
        let result = runner.run(&steps(), |steps| {
            let game = play(version, &steps);
            prop_assert!(game.worst_window() <= MAX_ARRIVALS);
            Ok(())
        });
        assert!(result.is_err(), "{version:?}");
    }
}
