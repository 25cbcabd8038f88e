//! Cost of decisions alone, without a daemon.

use std::time::{Duration, Instant};

use jackdawwick::admission::{
    AdmissionRequest, AdmissionSettings, AdmissionTable, ReleaseCause, ShareLimit,
};
use jackdawwick::ids::LogOffset;
use jackdawwick::records::{
    ChangeAction, DeclarationBody, JUDGING_RULES, LogRecord, ResourceChange,
};
use jackdawwick::replay::{DeclarationTable, WindowRules};
use jackdawwick::resources::{ResourceKey, ResourceSpec};
use jackdawwick::routing::{RouteRequest, RouteSettings, RouteTable};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::SlopeFigures;
use super::usage::resident_megabytes;
use crate::declarations::{self, StageLayout, StageTarget};
use crate::json_client::CallError;
use crate::operator::Declaration;

/// Number of organisations and models that are replayed besides the targets.
const ORGANISATIONS: usize = 400;
const MODELS: usize = 23;
/// Stages of the pipeline of each model.
const STAGES: usize = 3;
/// Number of decisions that are timed together.
const DECISIONS: usize = 20_000;
const MICROSECONDS: f64 = 1e6;
const MILLISECONDS: f64 = 1e3;

/// Replays the declarations of `targets` targets, with the organisations and models of
/// the planned size, and writes and reads a checkpoint of the state.
pub(super) fn replay(targets: usize) -> Result<SlopeFigures, CallError> {
    let mut declared = pipeline_declarations(targets, MODELS);
    let organisations = 0..ORGANISATIONS;
    declared.extend(
        organisations
            .map(|number| declarations::organisation(&format!("organisation-{number}"), 100, 100)),
    );
    let texts: Vec<String> = (0..)
        .zip(&declared)
        .map(|(number, declaration)| record_text(number, declaration))
        .collect::<Result<_, _>>()?;
    let memory_before = resident_megabytes();
    let started = Instant::now();
    let mut table = DeclarationTable::new(WindowRules::CURRENT);
    for (offset, text) in (0..).zip(&texts) {
        table.apply_raw(offset, text)?;
    }
    let replayed = started.elapsed().as_secs_f64();
    let memory = resident_megabytes() - memory_before;
    let started = Instant::now();
    let checkpoint = table.checkpoint();
    let written = serde_json::to_string(&checkpoint)?;
    let write = started.elapsed().as_secs_f64();
    let started = Instant::now();
    DeclarationTable::from_checkpoint(&serde_json::from_str(&written)?)?;
    let read = started.elapsed().as_secs_f64();
    let records = texts.len() as f64;
    let bytes: usize = texts.iter().map(String::len).sum();
    let mut figures = SlopeFigures::new();
    let mut put = |name: &str, figure: f64| figures.insert(name.to_owned(), figure);
    put("records", records);
    put("bytes a record", bytes as f64 / records);
    put("replay, µs a record", replayed * MICROSECONDS / records);
    put("memory of the state, MB", memory);
    put("checkpoint, kB", written.len() as f64 / 1000.0);
    put("checkpoint, ms to write", write * MILLISECONDS);
    put("checkpoint, ms to read and check", read * MILLISECONDS);
    Ok(figures)
}

/// Returns the text of an initial declaration as record `number` of the log.
pub(super) fn record_text(
    number: LogOffset,
    declaration: &Declaration,
) -> Result<String, CallError> {
    let change = ResourceChange {
        key: declaration.key.clone(),
        based_on: None,
        operator: "operator-1".into(),
        action: ChangeAction::Put(declaration.spec.clone()),
    };
    let record = LogRecord {
        id: format!("00000000-0000-4000-8000-{number:012}")
            .as_str()
            .into(),
        rules: JUDGING_RULES,
        writer: "host-1".into(),
        incarnation: 1,
        body: DeclarationBody::Change(change),
    };
    Ok(serde_json::to_string(&record)?)
}

/// Creates the declarations of pipelines over whose stages the targets are distributed.
fn pipeline_declarations(targets: usize, models: usize) -> Vec<Declaration> {
    let pipelines = (0..models).map(|model| {
        let stages: Vec<StageLayout> = (0..STAGES)
            .map(|stage| StageLayout {
                first_layer: stage as u32 * 4,
                last_layer: stage as u32 * 4 + 3,
                targets: (model * STAGES + stage..targets)
                    .step_by(models * STAGES)
                    .map(stage_target)
                    .collect(),
            })
            .collect();
        declarations::pipeline(&format!("model-{model}"), &stages)
    });
    pipelines.flatten().collect()
}

fn stage_target(number: usize) -> StageTarget {
    StageTarget {
        name: format!("engine-{number}"),
        zone: format!("zone-{}", number % 20).as_str().into(),
        address: ([10, 0, 0, 1], 7_000).into(),
        tokens_per_second: 1_000.0,
        concurrency: 16,
    }
}

/// Admits and releases requests of `organisations` organisations in turn.
pub(super) fn admission(organisations: usize) -> SlopeFigures {
    let now = Instant::now();
    let mut table = AdmissionTable::new(AdmissionSettings::default(), 1);
    let limit = ShareLimit {
        concurrent_requests: 1_000,
        requests_per_minute: 60_000_000,
    };
    for number in 0..organisations {
        table.set_share(organisation(number), limit, now);
    }
    let started = Instant::now();
    for number in 0..DECISIONS {
        let now = Instant::now();
        let request = AdmissionRequest {
            request: number.to_string().as_str().into(),
            organisation: organisation(number % organisations),
            service_time: Duration::from_millis(10),
            deadline: now + Duration::from_secs(30),
            priority: 0,
        };
        let id = request.request.clone();
        table.admit(request, now);
        table.release(&id, now, ReleaseCause::Completed);
    }
    let each = started.elapsed().as_secs_f64() / DECISIONS as f64;
    let started = Instant::now();
    for _ in 0..DECISIONS {
        std::hint::black_box((table.next_tick(), table.tick(Instant::now())));
    }
    let tick = started.elapsed().as_secs_f64() / DECISIONS as f64;
    SlopeFigures::from([
        ("admit and release, µs".to_owned(), each * MICROSECONDS),
        ("a tick, µs".to_owned(), tick * MICROSECONDS),
    ])
}

fn organisation(number: usize) -> jackdawwick::ids::OrganisationId {
    format!("organisation-{number}").as_str().into()
}

/// Plans routes over one pipeline with `targets` targets per stage.
pub(super) fn routing(targets: usize) -> SlopeFigures {
    let declared = pipeline_declarations(targets * STAGES, 1);
    let resources: Vec<(ResourceKey, ResourceSpec)> = declared
        .into_iter()
        .map(|declaration| (declaration.key, declaration.spec))
        .collect();
    let mut table = RouteTable::new(RouteSettings::new("zone-0".into()));
    table.set_pipelines(resources.iter().map(|(key, spec)| (key, spec)));
    let mut rng = StdRng::seed_from_u64(1);
    let now = Instant::now();
    let request = RouteRequest {
        model: "model-0".into(),
        version: None,
        prefixes: vec![1, 2, 3, 4],
        prompt_tokens: 64,
        max_tokens: 480,
        deadline: now + Duration::from_secs(300),
        excluded: Vec::new(),
    };
    let started = Instant::now();
    let planned = (0..DECISIONS)
        .filter(|_| table.plan(&request, now, &mut rng).is_ok())
        .count();
    let each = started.elapsed().as_secs_f64() / DECISIONS as f64;
    let started = Instant::now();
    for _ in 0..DECISIONS / 100 {
        table.set_pipelines(resources.iter().map(|(key, spec)| (key, spec)));
    }
    let declare = started.elapsed().as_secs_f64() * 100.0 / DECISIONS as f64;
    SlopeFigures::from([
        ("plan of 3 stages, µs".to_owned(), each * MICROSECONDS),
        (
            "part of plans that were made".to_owned(),
            planned as f64 / DECISIONS as f64,
        ),
        ("declaring anew, µs".to_owned(), declare * MICROSECONDS),
    ])
}
