//! Compares replay with a naive model that keeps every record and judges each by linear
//! scans.

mod replay_fixtures;

use std::cell::RefCell;
use std::collections::BTreeMap;

use jackdawwick::ids::LogOffset;
use jackdawwick::platform::wire::{ReadResponse, StoredRecord};
use jackdawwick::records::{ChangeAction, DeclarationBody, ResourceChange, StateCheckpoint};
use jackdawwick::replay::{DeclarationTable, Judgement, StartDecision, StartPlanner, WindowRules};
use jackdawwick::resources::{ResourceKey, ResourceKind, ResourceSpec, TargetKind};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use replay_fixtures::*;

/// Small windows, so that a log of some dozen records exceeds both.
const WINDOWS: WindowRules = WindowRules {
    id_window: 8,
    tombstone_limit: 2,
};

/// The part of a judgement on which all readers must agree.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    Accepted,
    Lost(Option<LogOffset>),
    Duplicate(LogOffset),
    Invalid,
    Malformed,
    Checkpoint,
}

fn outcome_of(judgement: &Judgement) -> Outcome {
    match judgement {
        Judgement::Accepted => Outcome::Accepted,
        Judgement::Lost { winner, .. } => Outcome::Lost(*winner),
        Judgement::Duplicate { first } => Outcome::Duplicate(*first),
        Judgement::Invalid(_) => Outcome::Invalid,
        Judgement::Malformed => Outcome::Malformed,
        Judgement::CheckpointMatched | Judgement::CheckpointSkipped { .. } => Outcome::Checkpoint,
        other => panic!("{other:?}"),
    }
}

/// A resource of the naive model.
#[derive(Debug, Clone, PartialEq)]
struct NaiveResource {
    key: ResourceKey,
    version: LogOffset,
    spec: ResourceSpec,
}

#[derive(Debug, Clone, Default, PartialEq)]
struct NaiveState {
    resources: Vec<NaiveResource>,
    /// Oldest first.
    tombstones: Vec<(ResourceKey, LogOffset)>,
}

impl NaiveState {
    fn spec(&self, kind: ResourceKind, name: &str) -> Option<&ResourceSpec> {
        let wanted = key(kind, name);
        let mut found = self
            .resources
            .iter()
            .filter(|resource| resource.key == wanted);
        found.next().map(|resource| &resource.spec)
    }

    fn latest(&self, key: &ResourceKey) -> Option<LogOffset> {
        let resource = self.resources.iter().find(|resource| resource.key == *key);
        let tombstone = self.tombstones.iter().find(|(deleted, _)| deleted == key);
        resource
            .map(|resource| resource.version)
            .or(tombstone.map(|(_, version)| *version))
    }

    fn apply(&mut self, version: LogOffset, change: &ResourceChange) {
        self.resources.retain(|resource| resource.key != change.key);
        self.tombstones
            .retain(|(deleted, _)| *deleted != change.key);
        match &change.action {
            ChangeAction::Put(spec) => self.resources.push(NaiveResource {
                key: change.key.clone(),
                version,
                spec: spec.clone(),
            }),
            ChangeAction::Delete => self.tombstones.push((change.key.clone(), version)),
        }
        if self.tombstones.len() > WINDOWS.tombstone_limit {
            self.tombstones.remove(0);
        }
    }

    /// Returns whether every resource of the state is valid.
    fn is_consistent(&self) -> bool {
        let mut digests = Vec::new();
        for resource in &self.resources {
            let is_valid = match &resource.spec {
                ResourceSpec::Pipeline(pipeline) => {
                    let Some(ResourceSpec::Model(model)) =
                        self.spec(ResourceKind::Model, &pipeline.model)
                    else {
                        return false;
                    };
                    let version = model
                        .versions
                        .iter()
                        .find(|version| version.name == pipeline.version);
                    let held: u32 = pipeline
                        .stages
                        .iter()
                        .map(|stage| stage.last_layer - stage.first_layer + 1)
                        .sum();
                    let mut named = pipeline.stages.iter().flat_map(|stage| &stage.targets);
                    version.is_some_and(|version| version.layers == held)
                        && named.all(|name| self.is_target(name, TargetKind::Engine))
                }
                ResourceSpec::Service(service) => service
                    .targets
                    .iter()
                    .all(|name| self.is_target(name, TargetKind::Service)),
                ResourceSpec::Organisation(organisation) => {
                    digests.push(organisation.token_digest.clone());
                    true
                }
                ResourceSpec::Model(_) | ResourceSpec::Target(_) => true,
            };
            if !is_valid
                || resource.spec.check().is_err()
                || resource.spec.kind() != resource.key.kind
            {
                return false;
            }
        }
        let count = digests.len();
        digests.sort();
        digests.dedup();
        digests.len() == count
    }

    fn is_target(&self, name: &str, kind: TargetKind) -> bool {
        matches!(self.spec(ResourceKind::Target, name), Some(ResourceSpec::Target(target)) if target.kind == kind)
    }
}

/// The judgements and states of the naive model for every record of a log.
struct NaiveReplay {
    judgements: Vec<Outcome>,
    states: Vec<NaiveState>,
}

fn naive_replay(log: &[String]) -> NaiveReplay {
    let mut replay = NaiveReplay {
        judgements: Vec::new(),
        states: vec![NaiveState::default()],
    };
    for offset in 0..log.len() {
        let mut state = replay.states[offset].clone();
        let outcome = naive_judge(log, offset, &replay.judgements, &mut state);
        replay.judgements.push(outcome);
        replay.states.push(state);
    }
    replay
}

fn id_of(body: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_str(body).ok()?;
    value["id"].as_str().map(str::to_owned)
}

fn naive_judge(
    log: &[String],
    offset: usize,
    judgements: &[Outcome],
    state: &mut NaiveState,
) -> Outcome {
    let Some(id) = id_of(&log[offset]) else {
        return Outcome::Malformed;
    };
    let window = usize::try_from(WINDOWS.id_window).expect("small");
    for earlier in offset.saturating_sub(window)..offset {
        let same = id_of(&log[earlier]).is_some_and(|other| other == id);
        if same && !matches!(judgements[earlier], Outcome::Duplicate(_)) {
            return Outcome::Duplicate(earlier as LogOffset);
        }
    }
    let change = match serde_json::from_str::<DeclarationRecord>(&log[offset]) {
        Err(_) => return Outcome::Malformed,
        Ok(record) => match record.body {
            DeclarationBody::Checkpoint(_) => return Outcome::Checkpoint,
            DeclarationBody::Change(change) => change,
        },
    };
    let latest = state.latest(&change.key);
    if latest != change.based_on {
        return Outcome::Lost(latest);
    }
    let known = state
        .resources
        .iter()
        .any(|resource| resource.key == change.key);
    if change.action == ChangeAction::Delete && !known {
        return Outcome::Invalid;
    }
    let mut next = state.clone();
    next.apply(offset as LogOffset, &change);
    if !next.is_consistent() {
        return Outcome::Invalid;
    }
    *state = next;
    Outcome::Accepted
}

/// A step that appends a record to the log.
#[derive(Debug, Clone)]
enum LogStep {
    /// An operator changes the state that it saw `lag` records ago.
    Change {
        key: ResourceKey,
        action: ChangeAction,
        lag: usize,
    },
    /// An operator bases a change on a random version.
    Guess {
        key: ResourceKey,
        action: ChangeAction,
        based_on: Option<LogOffset>,
    },
    /// A writer whose append got no reply repeats the append.
    Repeat { back: usize },
    /// A writer appends a checkpoint of its state `lag` records ago.
    Checkpoint { lag: usize },
    /// Another program writes to the stream; the id of its record may be readable.
    Garbage { readable: bool },
}

fn action(kind: ResourceKind) -> BoxedStrategy<ChangeAction> {
    let names =
        |prefix: &'static str| (0..4_u8).prop_map(move |number| format!("{prefix}{number}"));
    let spec = match kind {
        ResourceKind::Model => (1..4_u32, 1..3_u32, 0..8_u8)
            .prop_map(|(first, second, offered)| {
                let offered = if offered == 0 { "v9" } else { "v1" };
                match second {
                    1 => model(offered, &[("v1", first)]),
                    _ => model(offered, &[("v1", first), ("v2", second)]),
                }
            })
            .boxed(),
        ResourceKind::Target => (any::<bool>(), 1e-300..1e300_f64)
            .prop_map(|(engine, rate)| match engine {
                true => target(TargetKind::Engine, rate.sqrt()),
                false => target(TargetKind::Service, rate.ln().abs() + 0.1),
            })
            .boxed(),
        ResourceKind::Pipeline => (0..2_u8, 1..3_u8, 0..3_u32, names("t"), names("t"))
            .prop_map(|(number, version, middle, first, second)| {
                let (model, version) = (format!("m{number}"), format!("v{version}"));
                match middle {
                    0 => pipeline(&model, &version, &[(0, &first)]),
                    _ => pipeline(&model, &version, &[(0, &first), (middle, &second)]),
                }
            })
            .boxed(),
        ResourceKind::Service => names("t").prop_map(|name| service(&name)).boxed(),
        ResourceKind::Organisation => (0..3_u8, 0..5_u32)
            .prop_map(|(digit, bought)| organisation(char::from(b'a' + digit), bought))
            .boxed(),
    };
    prop_oneof![5 => spec.prop_map(ChangeAction::Put), 2 => Just(ChangeAction::Delete)].boxed()
}

fn keyed_action() -> impl Strategy<Value = (ResourceKey, ChangeAction)> {
    let kinds = prop_oneof![
        2 => Just((ResourceKind::Model, "m", 2_u8)),
        4 => Just((ResourceKind::Target, "t", 4)),
        4 => Just((ResourceKind::Pipeline, "p", 2)),
        1 => Just((ResourceKind::Service, "s", 1)),
        2 => Just((ResourceKind::Organisation, "o", 2)),
    ];
    kinds.prop_flat_map(|(kind, prefix, count)| {
        (0..count).prop_flat_map(move |number: u8| {
            let key = key(kind, &format!("{prefix}{number}"));
            action(kind).prop_map(move |action| (key.clone(), action))
        })
    })
}

fn log_step() -> impl Strategy<Value = LogStep> {
    prop_oneof![
        12 => (keyed_action(), prop_oneof![4 => Just(0_usize), 1 => 1..12_usize])
            .prop_map(|((key, action), lag)| LogStep::Change { key, action, lag }),
        1 => (keyed_action(), proptest::option::of(0..40_u64))
            .prop_map(|((key, action), based_on)| LogStep::Guess { key, action, based_on }),
        3 => (1..16_usize).prop_map(|back| LogStep::Repeat { back }),
        2 => prop_oneof![Just(0_usize), 0..30_usize].prop_map(|lag| LogStep::Checkpoint { lag }),
        1 => any::<bool>().prop_map(|readable| LogStep::Garbage { readable }),
    ]
}

/// Builds the log from the steps as the operators' hosts would.
fn build_log(steps: &[LogStep]) -> Vec<String> {
    let first = [
        put("first-0", "m0", None, model("v1", &[("v1", 2)])),
        put("first-1", "t0", None, target(TargetKind::Engine, 0.1)),
        put("first-2", "t1", None, target(TargetKind::Engine, 7.3)),
        put("first-3", "t2", None, target(TargetKind::Service, 1.0)),
    ];
    let mut log: Vec<String> = first.iter().map(text).collect();
    let mut held = vec![DeclarationTable::new(WINDOWS)];
    for (number, step) in steps.iter().enumerate() {
        while held.len() <= log.len() {
            let mut table = held[held.len() - 1].clone();
            let offset = held.len() - 1;
            table
                .apply_raw(offset as LogOffset, &log[offset])
                .expect("no gap");
            held.push(table);
        }
        let table_at = |lag: usize| &held[log.len().saturating_sub(lag)];
        let id = format!("record-{number}");
        let body = match step {
            LogStep::Change { key, action, lag } => {
                let based_on = table_at(*lag)
                    .latest_change(key)
                    .map(|latest| latest.version);
                text(&change(&id, "nino", key, based_on, action.clone()))
            }
            LogStep::Guess {
                key,
                action,
                based_on,
            } => text(&change(&id, "amine", key, *based_on, action.clone())),
            LogStep::Repeat { back } => log[log.len().saturating_sub(*back)].clone(),
            LogStep::Checkpoint { lag } => text(&checkpoint(&id, table_at(*lag).checkpoint())),
            LogStep::Garbage { readable: false } => format!("{{\"id\": \"{id}\", \"rules\": "),
            LogStep::Garbage { readable: true } => {
                format!("{{\"id\": \"{id}\", \"rules\": 1, \"body\": 5}}")
            }
        };
        log.push(body);
    }
    log
}

fn state_of(table: &DeclarationTable) -> NaiveState {
    let kinds = [
        ResourceKind::Model,
        ResourceKind::Pipeline,
        ResourceKind::Service,
        ResourceKind::Organisation,
        ResourceKind::Target,
    ];
    let listed = kinds.into_iter().flat_map(|kind| table.list(kind));
    let mut resources: Vec<_> = listed
        .map(|entry| NaiveResource {
            key: entry.key(),
            version: entry.resource.version,
            spec: entry.resource.spec.clone(),
        })
        .collect();
    resources.sort_by(|left, right| left.key.cmp(&right.key));
    let mut tombstones: Vec<_> = table
        .checkpoint()
        .tombstones
        .into_iter()
        .map(|entry| (entry.key, entry.tombstone.version))
        .collect();
    tombstones.sort_by_key(|(_, version)| *version);
    NaiveState {
        resources,
        tombstones,
    }
}

fn sorted(state: &NaiveState) -> NaiveState {
    let mut state = state.clone();
    state
        .resources
        .sort_by(|left, right| left.key.cmp(&right.key));
    state
}

/// Applies the rest of a log to a table and compares it with the naive model at every
/// record.
fn follow(
    table: &mut DeclarationTable,
    log: &[String],
    naive: &NaiveReplay,
) -> Result<(), TestCaseError> {
    let mut versions: BTreeMap<ResourceKey, LogOffset> = BTreeMap::new();
    let start = usize::try_from(table.applied()).expect("small");
    for (offset, body) in log.iter().enumerate().skip(start) {
        let at = offset as LogOffset;
        prop_assert!(table.apply_raw(at + 1, body).is_err(), "a gap was accepted");
        let judgement = table.apply_raw(at, body).expect("no gap");
        prop_assert_eq!(
            &outcome_of(&judgement),
            &naive.judgements[offset],
            "at {}",
            offset
        );
        let before = table.hash();
        prop_assert_eq!(table.apply_raw(at, body), Ok(Judgement::AlreadyApplied));
        prop_assert_eq!(table.hash(), before);
        prop_assert_eq!(
            state_of(table),
            sorted(&naive.states[offset + 1]),
            "after {}",
            offset
        );
        for entry in state_of(table).resources {
            let last = versions.entry(entry.key).or_default();
            prop_assert!(entry.version >= *last, "a version went back at {}", offset);
            *last = entry.version;
        }
    }
    Ok(())
}

fn check_recent_judgements(
    table: &DeclarationTable,
    log: &[String],
    naive: &NaiveReplay,
) -> Result<(), TestCaseError> {
    let window = usize::try_from(WINDOWS.id_window).expect("small");
    for offset in 0..log.len() {
        let Some(id) = id_of(&log[offset]) else {
            continue;
        };
        let is_first = !matches!(naive.judgements[offset], Outcome::Duplicate(_));
        if !is_first || offset + window < log.len() {
            continue;
        }
        let outcome = table.judgement_of(&id).expect("in the window");
        prop_assert_eq!(outcome.offset, offset as LogOffset);
        prop_assert_eq!(&outcome_of(&outcome.judgement), &naive.judgements[offset]);
    }
    Ok(())
}

fn checkpoint_in(body: &str) -> Option<StateCheckpoint> {
    let record: DeclarationRecord = serde_json::from_str(body).ok()?;
    match record.body {
        DeclarationBody::Checkpoint(state) => Some(state),
        DeclarationBody::Change(_) => None,
    }
}

#[test]
fn every_reader_agrees_with_the_naive_model() {
    let config = ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5eed_0004),
        cases: 200,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let counts = RefCell::new(BTreeMap::<String, usize>::new());
    let mut runner = TestRunner::new(config);
    let steps = proptest::collection::vec(log_step(), 1..60);
    let result = runner.run(&steps, |steps| {
        let log = build_log(&steps);
        let naive = naive_replay(&log);
        let mut table = DeclarationTable::new(WINDOWS);
        follow(&mut table, &log, &naive)?;
        check_recent_judgements(&table, &log, &naive)?;
        for state in log.iter().filter_map(|body| checkpoint_in(body)) {
            let mut late = DeclarationTable::restore(WINDOWS, &state).expect("whole");
            follow(&mut late, &log, &naive)?;
            check_recent_judgements(&late, &log, &naive)?;
            prop_assert_eq!(late.hash(), table.hash());
            *counts
                .borrow_mut()
                .entry("restarted".to_owned())
                .or_default() += 1;
        }
        for outcome in &naive.judgements {
            let name = format!("{outcome:?}");
            let name = name.split('(').next().unwrap_or_default().to_owned();
            *counts.borrow_mut().entry(name).or_default() += 1;
        }
        Ok(())
    });
    result.expect("readers agree");
    // Every kind of judgement must have occurred in the logs often enough.
    let counts = counts.into_inner();
    for name in [
        "Accepted",
        "Lost",
        "Duplicate",
        "Invalid",
        "Malformed",
        "Checkpoint",
        "restarted",
    ] {
        assert!(
            counts.get(name).is_some_and(|count| *count >= 300),
            "{name}: {counts:?}"
        );
    }
}

/// A log that grows and expires between reads.
#[derive(Debug, Clone)]
struct MovingLog {
    first: usize,
    end: usize,
    page: usize,
    grow: usize,
    expire: usize,
}

impl MovingLog {
    fn read(&mut self, log: &[String], from: LogOffset) -> ReadResponse {
        self.end = log.len().min(self.end + self.grow);
        self.first = self.end.min(self.first + self.expire);
        let from = usize::try_from(from).expect("small").max(self.first);
        let stored = |offset: usize| StoredRecord {
            offset: offset as LogOffset,
            body: log[offset].clone(),
        };
        ReadResponse {
            first_offset: self.first as LogOffset,
            end_offset: self.end as LogOffset,
            records: (from..self.end).take(self.page).map(stored).collect(),
        }
    }

    /// Returns whether a state can be restored from the retained records.
    fn is_usable(&self, log: &[String]) -> bool {
        let first = self.first as LogOffset;
        let mut states = log[self.first..self.end]
            .iter()
            .filter_map(|body| checkpoint_in(body));
        first == 0 || states.any(|state| state.as_of >= first)
    }
}

#[test]
fn a_start_yields_the_state_of_the_whole_log() {
    let config = ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5eed_0005),
        cases: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let outcomes = RefCell::new([0_usize; 3]);
    let mut runner = TestRunner::new(config);
    let moving = (
        0..30_usize,
        0..60_usize,
        4..20_usize,
        0..2_usize,
        0..3_usize,
    );
    let strategy = (
        proptest::collection::vec(log_step(), 1..60),
        moving,
        1..40_u64,
    );
    let result = runner.run(&strategy, |(steps, moving, lookback)| {
        let log = build_log(&steps);
        let (first, end, page, grow, expire) = moving;
        let mut moving = MovingLog {
            first: first.min(log.len()),
            end: end.clamp(first.min(log.len()), log.len()),
            page,
            grow,
            expire,
        };
        let mut planner = StartPlanner::new(WINDOWS, lookback);
        let mut decision = StartDecision::ReadFrom(0);
        let mut reads = 0;
        while let StartDecision::ReadFrom(from) = decision {
            reads += 1;
            prop_assert!(reads < 200, "the planner reads without end");
            decision = planner.on_read(&moving.read(&log, from));
        }
        match decision {
            StartDecision::Started(table) => {
                let end = usize::try_from(table.applied()).expect("small");
                prop_assert_eq!(end, moving.end);
                let mut replayed = DeclarationTable::new(WINDOWS);
                for (offset, body) in log[..end].iter().enumerate() {
                    replayed
                        .apply_raw(offset as LogOffset, body)
                        .expect("no gap");
                }
                prop_assert_eq!(table.hash(), replayed.hash());
                prop_assert_eq!(state_of(&table), state_of(&replayed));
                outcomes.borrow_mut()[0] += 1;
                outcomes.borrow_mut()[1] += usize::from(moving.first > 0);
            }
            StartDecision::NotReady(obstacle) => {
                prop_assert!(!moving.is_usable(&log), "{obstacle:?}, {moving:?}");
                outcomes.borrow_mut()[2] += 1;
            }
            StartDecision::ReadFrom(_) => {}
        }
        Ok(())
    });
    result.expect("starts agree");
    let [started, expired, refused] = outcomes.into_inner();
    assert!(
        expired >= 50 && refused >= 50,
        "{started} {expired} {refused}"
    );
}
