//! Resources that a daemon uses for a request and for a token.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::future::join_all;
use jackdawwick::api::wire::GenerateBody;

use super::SlopeFigures;
use super::fleet::any_port;
use super::usage::ThreadSample;
use crate::caller::CallerClient;
use crate::daemon_settings::DaemonConfig;
use crate::declarations::{self, StageLayout, StageTarget, VERSION};
use crate::engine::{EngineServer, EngineSettings};
use crate::fleet::FleetDaemon;
use crate::json_client::CallError;
use crate::operator;
use crate::platform::{PlatformServer, PlatformSettings};

/// Tokens of a response while stages are varied.
pub(super) const DEFAULT_TOKENS: u64 = 480;
/// Number of stages while tokens are varied.
pub(super) const DEFAULT_STAGES: usize = 3;
/// Number of concurrent requests.
const STREAMS: usize = 4;
const PROMPT_TOKENS: u64 = 32;
/// Number of engines of a stage.
const ENGINES: usize = 2;
const WARM_UP_TOKENS: u64 = 16;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const HOST: &str = "host-0";
const MICROSECONDS: f64 = 1e6;
const MILLISECONDS: f64 = 1e3;

/// Tokens that one stream received, and its duration.
#[derive(Debug)]
struct StreamFigures {
    tokens: f64,
    seconds: f64,
}

/// Runs a few streams through one daemon and engines that take no time.
pub(super) async fn measure(
    stages: usize,
    tokens: u64,
    window: Duration,
) -> Result<SlopeFigures, CallError> {
    let platform = PlatformServer::bind(any_port(), PlatformSettings::default()).await?;
    let mut engines = Vec::new();
    let mut layouts = Vec::new();
    for stage in 0..stages {
        let layer = u32::try_from(stage)?;
        let mut targets = Vec::new();
        for number in 0..ENGINES {
            let settings = EngineSettings {
                // The records of this run are not evaluated.
                record_cap: 0,
                ..EngineSettings::new("model", VERSION, u32::try_from(stages)?, layer, layer)
            };
            let engine = EngineServer::bind(any_port(), settings).await?;
            targets.push(StageTarget {
                name: format!("engine-{stage}-{number}"),
                zone: "zone-0".into(),
                address: engine.local_addr(),
                tokens_per_second: 10_000.0,
                concurrency: 16,
            });
            engines.push(engine);
        }
        layouts.push(StageLayout {
            first_layer: layer,
            last_layer: layer,
            targets,
        });
    }
    let config = DaemonConfig::new(HOST, "zone-0", platform.local_addr());
    let text = config.to_toml("\n[log]\nlevel = \"off\"\n");
    let mut daemon = FleetDaemon::spawn(&text).await?;
    let mut declared = declarations::pipeline("model", &layouts);
    declared.push(declarations::organisation("organisation-0", 1_000, 100_000));
    operator::declare_all(daemon.operators, &declared).await?;
    let callers = daemon.callers;
    run_stream(callers, 0, WARM_UP_TOKENS, Duration::ZERO).await?;
    let before = ThreadSample::take();
    // Only complete responses are counted, so the end of the last one ends the window.
    let streams = (1..=STREAMS).map(|stream| run_stream(callers, stream, tokens, window));
    let streams = join_all(streams).await;
    let after = ThreadSample::take();
    daemon.shutdown().await;
    let given = streams.into_iter().collect::<Result<Vec<_>, _>>()?;
    let given_tokens: f64 = given.iter().map(|stream| stream.tokens).sum();
    let rate: f64 = given
        .iter()
        .map(|stream| stream.tokens / stream.seconds)
        .sum();
    let used = after.used_since(&before, HOST);
    Ok(SlopeFigures::from([
        ("tokens/s".to_owned(), rate),
        (
            "processor, µs a token".to_owned(),
            used * MICROSECONDS / given_tokens,
        ),
        (
            "processor, µs a request".to_owned(),
            used * MICROSECONDS * tokens as f64 / given_tokens,
        ),
        ("tokens a core second".to_owned(), given_tokens / used),
        (
            "time between tokens of a stream, ms".to_owned(),
            MILLISECONDS * STREAMS as f64 / rate,
        ),
    ]))
}

/// Sends one generation request after the other, until `window` has passed.
async fn run_stream(
    host: SocketAddr,
    stream: usize,
    tokens: u64,
    window: Duration,
) -> Result<StreamFigures, CallError> {
    let caller = CallerClient::open("organisation-0");
    let started = Instant::now();
    let mut received = 0;
    for number in 0_u64.. {
        let first = (stream as u64) << 32 | number << 8;
        let body = GenerateBody {
            model: "model".into(),
            prompt: (first..first + PROMPT_TOKENS).collect(),
            max_tokens: tokens,
            deadline_ms: None,
            priority: 0,
            resume: None,
        };
        let request = format!("request-{stream}-{number}");
        let response = caller.generate(host, &request, &body).await;
        match response.is_complete() {
            true => received += tokens,
            // Directly after the start the host has no share of the capacity yet.
            false if stream == 0 => tokio::time::sleep(RETRY_PAUSE).await,
            false => return Err(format!("generation failed: {:?}", response.refused()).into()),
        }
        if received > 0 && started.elapsed() >= window {
            break;
        }
    }
    Ok(StreamFigures {
        tokens: received as f64,
        seconds: started.elapsed().as_secs_f64(),
    })
}
