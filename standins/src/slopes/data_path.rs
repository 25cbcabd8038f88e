//! What a request and a token cost a daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use jackdawwick::api::wire::GenerateBody;
use tokio::time::sleep;

use super::SlopeFigures;
use super::fleet::any_port;
use super::usage::ThreadSample;
use crate::caller::CallerClient;
use crate::daemon_settings::DaemonPlace;
use crate::declarations::{self, StageLayout, StageTarget, VERSION};
use crate::engine::{EngineServer, EngineSettings};
use crate::fleet::FleetDaemon;
use crate::json_client::CallError;
use crate::operator;
use crate::platform::{PlatformServer, PlatformSettings};

/// Tokens of an answer while stages are varied.
pub(super) const USUAL_TOKENS: u64 = 480;
/// Stages while tokens are varied.
pub(super) const USUAL_STAGES: usize = 3;
/// Requests at once.
const STREAMS: usize = 4;
const PROMPT_TOKENS: u64 = 32;
/// Engines of a stage.
const ENGINES: usize = 2;
const WARM_UP: Duration = Duration::from_secs(2);
const HOST: &str = "host-0";
const MICROSECONDS: f64 = 1e6;
const PERCENT: f64 = 100.0;

/// What callers have been given so far.
#[derive(Debug, Default)]
struct GivenAnswers {
    tokens: AtomicU64,
    requests: AtomicU64,
}

/// Drives a few streams through one daemon and engines that take no time.
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
                // The answers of this run are not looked at afterwards.
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
    let place = DaemonPlace::new(HOST, "zone-0", platform.local_addr());
    let text = place.to_toml("\n[log]\nlevel = \"off\"\n");
    let mut daemon = FleetDaemon::spawn(&text).await?;
    let mut declared = declarations::pipeline("model", &layouts);
    declared.push(declarations::organisation("organisation-0", 1_000, 100_000));
    operator::declare_all(daemon.operators, &declared).await?;
    let given = Arc::new(GivenAnswers::default());
    let callers = daemon.callers;
    let streams: Vec<_> = (0..STREAMS)
        .map(|stream| tokio::spawn(call_again(callers, stream, tokens, Arc::clone(&given))))
        .collect();
    sleep(WARM_UP).await;
    let begin = (
        given.tokens.load(Ordering::Relaxed),
        given.requests.load(Ordering::Relaxed),
    );
    let before = ThreadSample::take();
    sleep(window).await;
    let after = ThreadSample::take();
    let given_tokens = (given.tokens.load(Ordering::Relaxed) - begin.0) as f64;
    let requests = (given.requests.load(Ordering::Relaxed) - begin.1) as f64;
    for stream in streams {
        stream.abort();
    }
    daemon.shutdown().await;
    let seconds = after.seconds_since(&before);
    let used = after.used_since(&before, HOST);
    Ok(SlopeFigures::from([
        (
            "processor, % of a core".to_owned(),
            used / seconds * PERCENT,
        ),
        ("tokens/s".to_owned(), given_tokens / seconds),
        ("requests/s".to_owned(), requests / seconds),
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
            seconds * 1000.0 * STREAMS as f64 / given_tokens,
        ),
    ]))
}

async fn call_again(
    host: std::net::SocketAddr,
    stream: usize,
    tokens: u64,
    given: Arc<GivenAnswers>,
) {
    let caller = CallerClient::open("organisation-0");
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
        let answer = caller.generate(host, &request, &body).await;
        let heard = answer.tokens().len() as u64;
        given.tokens.fetch_add(heard, Ordering::Relaxed);
        given
            .requests
            .fetch_add(u64::from(answer.is_whole()), Ordering::Relaxed);
    }
}
