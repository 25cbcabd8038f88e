//! Demonstrates a fleet: requests of both user organisations, a target that is killed
//! during a stream, and the recorded decisions with their reasons.

#![allow(clippy::print_stdout, reason = "the demo reports on standard output")]

use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime};

use clap::{Arg, ArgAction, Command};
use jackdawwick::api::wire::{ExplainView, GenerateBody};
use standins::caller::{CallerClient, GenerationResponse, OutgoingCall, new_key, token_of};
use standins::check::{CallHistory, GenerationHistory, RunHistory, check_all};
use standins::declarations::VERSION;
use standins::fleet::{Fleet, FleetDaemon, FleetLayout};
use standins::json_client::CallError;
use standins::operator::{self, OPERATOR};

const ORGANISATION: &str = "organisation-1";
const PROMPT_TOKENS: u64 = 32;
const TOKENS: u64 = 24;
/// Stage whose target is killed.
const KILLED_STAGE: usize = 1;
/// Random part of the only idempotency key; a real caller draws it at random.
const KEY_RANDOM: [u8; 10] = [7; 10];
/// Maximum wait for the generation to be half finished.
const HALF_WAY_TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> ExitCode {
    let matches = Command::new("demo")
        .about("Starts stand-ins and daemons over loopback and demonstrates them")
        .arg(
            Arg::new("serve")
                .long("serve")
                .help("Keep the first fleet running, to try it with curl")
                .action(ArgAction::SetTrue),
        )
        .get_matches();
    let result = match matches.get_flag("serve") {
        true => serve().await,
        false => show_both().await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            println!("FAILED: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn show_both() -> Result<(), CallError> {
    for layout in [FleetLayout::franchise(), FleetLayout::atlas()] {
        show(layout).await?;
    }
    println!("Every response was complete and agrees with the records of the targets.");
    Ok(())
}

async fn show(layout: FleetLayout) -> Result<(), CallError> {
    let mut fleet = start(layout).await?;
    let mut history = RunHistory::default();
    for (number, daemon) in fleet.daemons.iter().enumerate() {
        let request = format!("read-{number}");
        history
            .generations
            .push(request_generation(&fleet, daemon, &request).await);
    }
    history.service_calls.push(call_service(&fleet).await?);
    let killed = generate_and_kill(&fleet).await?;
    explain(&fleet.daemons[0], &killed.request).await?;
    history.generations.push(killed);
    check(&fleet, history)?;
    fleet.shutdown().await;
    println!();
    Ok(())
}

async fn start(layout: FleetLayout) -> Result<Fleet, CallError> {
    let name = layout.name.clone();
    let fleet = Fleet::start(layout).await?;
    println!(
        "== {name}: {} daemons, {} engines in {} stages, {} targets of the service {}",
        fleet.daemons.len(),
        fleet.engines.len(),
        fleet.layout.stages.len(),
        fleet.services.len(),
        fleet.layout.service.name,
    );
    Ok(fleet)
}

fn body(fleet: &Fleet) -> GenerateBody {
    GenerateBody {
        model: fleet.layout.model.as_str().into(),
        prompt: (1..=PROMPT_TOKENS).collect(),
        max_tokens: TOKENS,
        deadline_ms: None,
        priority: 0,
        resume: None,
    }
}

async fn request_generation(
    fleet: &Fleet,
    daemon: &FleetDaemon,
    request: &str,
) -> GenerationHistory {
    let body = body(fleet);
    let caller = CallerClient::open(ORGANISATION);
    let response = caller.generate(daemon.callers, request, &body).await;
    println!("{}: {request}: {}", daemon.host, summary(&response));
    GenerationHistory {
        request: request.into(),
        organisation: ORGANISATION.into(),
        model: fleet.layout.model.clone(),
        version: VERSION.to_owned(),
        layers: fleet.layout.layers(),
        prompt: body.prompt,
        max_tokens: body.max_tokens,
        responses: vec![response],
    }
}

fn summary(response: &GenerationResponse) -> String {
    let first = response.first_token().unwrap_or_default();
    match response.refused() {
        Some(refusal) => format!("refused: {refusal:?}"),
        None => format!(
            "{} tokens, first after {first:.1?}, last after {:.1?}",
            response.tokens().len(),
            response.ended - response.sent
        ),
    }
}

async fn call_service(fleet: &Fleet) -> Result<CallHistory, CallError> {
    let service = &fleet.layout.service;
    let caller = CallerClient::open(ORGANISATION);
    let key = new_key(SystemTime::now(), KEY_RANDOM);
    let call = OutgoingCall {
        path: &format!("{}/{}", service.name, service.non_idempotent),
        body: "{}".into(),
        key: Some(&key),
    };
    let daemon = &fleet.daemons[0];
    let reply = caller
        .call_service(daemon.callers, "settle-1", call)
        .await?;
    println!(
        "{}: settle-1: {} {:?}",
        daemon.host, reply.status, reply.body
    );
    if !reply.status.is_success() {
        return Err("the call of the service was refused".into());
    }
    Ok(CallHistory {
        request: "settle-1".into(),
        organisation: ORGANISATION.into(),
        key: Some(key),
        replies: vec![Some(reply)],
        lost_sends: 0,
    })
}

/// Requests a generation and kills one of its targets when it is half finished.
async fn generate_and_kill(fleet: &Fleet) -> Result<GenerationHistory, CallError> {
    let request = "killed-half-way";
    let pending = request_generation(fleet, &fleet.daemons[0], request);
    let (history, killed) = tokio::join!(pending, kill_half_way(fleet, request));
    println!(
        "(the target {} was killed when the generation was half finished)",
        killed?
    );
    Ok(history)
}

async fn kill_half_way(fleet: &Fleet, request: &str) -> Result<String, CallError> {
    let half_way = PROMPT_TOKENS + TOKENS / 2;
    let run = format!("{request}~");
    let deadline = Instant::now() + HALF_WAY_TIMEOUT;
    while Instant::now() < deadline {
        let stage = fleet.engines.iter();
        for engine in stage.filter(|engine| engine.stage == KILLED_STAGE) {
            let record = engine.server.record();
            let mut steps = record.iter();
            if steps.any(|step| step.request.starts_with(&run) && step.position >= half_way) {
                engine.server.crash();
                return Ok(engine.target.name.clone());
            }
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Err("the generation was not half finished in time".into())
}

async fn explain(daemon: &FleetDaemon, request: &str) -> Result<(), CallError> {
    let path = format!("/v1/explain/{request}");
    let view: ExplainView = operator::read(daemon.operators, &path).await?;
    println!(
        "decisions of {} about {request}, with their reasons:",
        daemon.host
    );
    for entry in view.entries {
        println!("  {}", entry.text);
    }
    Ok(())
}

fn check(fleet: &Fleet, observed: RunHistory) -> Result<(), CallError> {
    let history = RunHistory {
        generations: observed.generations,
        service_calls: observed.service_calls,
        ..fleet.recorded()
    };
    let violations = check_all(&history, Duration::ZERO);
    for violation in &violations {
        println!("BROKEN: {violation}");
    }
    let refused = history
        .generations
        .iter()
        .find(|generation| generation.closing_count().is_none());
    match refused {
        Some(generation) => Err(format!("{} did not complete", generation.request).into()),
        None if violations.is_empty() => Ok(()),
        None => Err(format!("{} guarantees were violated", violations.len()).into()),
    }
}

/// Keeps a fleet running until the program is interrupted.
async fn serve() -> Result<(), CallError> {
    let mut fleet = start(FleetLayout::franchise()).await?;
    let (daemon, service) = (&fleet.daemons[0], &fleet.layout.service);
    let caller = format!("-H 'authorization: Bearer {}'", token_of(ORGANISATION));
    let operator = format!("-H 'authorization: Bearer {}'", token_of(OPERATOR));
    let json = "-H 'content-type: application/json'";
    let body = serde_json::to_string(&GenerateBody {
        prompt: vec![1, 2, 3],
        ..body(&fleet)
    })?;
    let callers = daemon.callers;
    let operators = daemon.operators;
    println!(
        "curl -N {caller} {json} -H 'x-request-id: try-1' http://{callers}/v1/generate -d '{body}'"
    );
    println!(
        "curl {caller} {json} http://{callers}/v1/services/{}/{} -d '{{}}'",
        service.name, service.plain_operation
    );
    println!("curl {operator} http://{operators}/v1/explain/try-1");
    println!("curl {operator} http://{operators}/v1/status");
    println!("curl {operator} http://{operators}/metrics");
    println!("Interrupt to end.");
    tokio::signal::ctrl_c().await?;
    fleet.shutdown().await;
    Ok(())
}
