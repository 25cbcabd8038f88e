//! Format of the operators' configuration in the log.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::collections::{FastMap, FastSet};
use crate::ids::ZoneId;
use crate::ingress::{
    AcceleratorKind, CallerLimits, EngineModel, IngressConfiguration, KeyHolder, RequestKind,
    RouteRule, ServiceShare, ServiceSpec,
};
use crate::platform::target_record::MAX_LAYERS;

#[derive(Deserialize)]
struct ConfigurationBody {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteBody>,
    #[serde(default)]
    services: Vec<ServiceBody>,
    limits: Option<LimitsBody>,
    tenants: Option<Vec<OrganisationBody>>,
}

#[derive(Deserialize)]
struct RouteBody {
    name: Box<str>,
    host: Box<str>,
    path_prefix: Box<str>,
    kind: String,
    #[serde(default = "default_timeout")]
    timeout_ms: f64,
    /// Time within which a response (of a stream: its first event) is on time.
    target_latency_ms: Option<f64>,
    gap_aim_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    traffic_split: Option<Vec<SplitBody>>,
    #[serde(default = "default_attempts")]
    max_attempts: u32,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    stream_resume: bool,
}

/// Returns the default timeout of a route, in milliseconds.
fn default_timeout() -> f64 {
    20_000.0
}

fn default_attempts() -> u32 {
    1
}

#[derive(Deserialize)]
struct SplitBody {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
struct ServiceBody {
    name: String,
    health_path: Box<str>,
    engine: Option<EngineBody>,
}

#[derive(Deserialize)]
struct EngineBody {
    /// Requests that an engine runs at once as the first of their paths.
    #[serde(default = "default_slots")]
    slots: u32,
    #[serde(default)]
    layers: u32,
    #[serde(default)]
    layer_mb: f64,
    kv_token_bytes: f64,
    step_ms: f64,
    per_seq_ms: f64,
    context_per_k: f64,
    read_per_s: f64,
    #[serde(default = "default_stride")]
    stride: u32,
    #[serde(default)]
    models: Vec<ModelBody>,
    usual: Option<UsualBody>,
    #[serde(default)]
    delays: Vec<DelayBody>,
    #[serde(default)]
    kind_list: Vec<KindBody>,
}

fn default_slots() -> u32 {
    u32::MAX
}

fn default_stride() -> u32 {
    1
}

#[derive(Deserialize)]
struct ModelBody {
    load_s: Option<f64>,
}

/// The declared delay between two availability zones, of which only the names are used.
#[derive(Deserialize)]
struct DelayBody {
    from: String,
    to: String,
}

#[derive(Deserialize)]
struct UsualBody {
    prompt: f64,
    answer: f64,
}

#[derive(Deserialize)]
struct KindBody {
    name: Box<str>,
    mb: f64,
    pace: f64,
    read_x: f64,
}

#[derive(Deserialize, Clone, Copy)]
struct LimitsBody {
    max_header_bytes: usize,
    max_body_bytes: usize,
    idle_timeout_ms: f64,
}

#[derive(Deserialize)]
struct OrganisationBody {
    name: String,
    #[serde(default)]
    api_keys: Vec<Box<str>>,
    priority: Option<u8>,
}

/// Parses the value of a configuration record.
///
/// # Errors
///
/// Fails if the value is not a valid configuration; the message names the field.
pub fn parse_configuration(value: &[u8]) -> Result<IngressConfiguration, String> {
    let mut deserializer = serde_json::Deserializer::from_slice(value);
    let body: ConfigurationBody =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| error.to_string())?;
    let mut routes = FastMap::<Box<str>, Vec<Arc<RouteRule>>>::default();
    for route in body.routes {
        let rules = routes.entry(route.host.clone()).or_default();
        rules.push(Arc::new(convert_route(route)));
    }
    for rules in routes.values_mut() {
        rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
    }
    let engines = body
        .services
        .iter()
        .filter_map(|service| service.engine.as_ref());
    let mut oversized = engines.filter(|engine| engine.layers > MAX_LAYERS);
    if let Some(engine) = oversized.next() {
        return Err(format!("layers: {} is over {MAX_LAYERS}", engine.layers));
    }
    let zones = declared_zones(&body.services);
    let services = body.services.into_iter().map(convert_service);
    Ok(IngressConfiguration {
        version: body.version,
        routes,
        services: services
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect(),
        zones,
        keys: body.tenants.map(convert_keys),
        limits: body.limits.map_or_else(Default::default, convert_limits),
    })
}

/// Returns the availability zones between which delays are declared.
fn declared_zones(services: &[ServiceBody]) -> FastSet<ZoneId> {
    let engines = services
        .iter()
        .filter_map(|service| service.engine.as_ref());
    let delays = engines.flat_map(|engine| &engine.delays);
    let zones = delays.flat_map(|delay| [&delay.from, &delay.to]);
    zones.map(|zone| zone.as_str().into()).collect()
}

fn convert_route(body: RouteBody) -> RouteRule {
    let kind = match (body.kind.as_str(), body.stream_resume) {
        ("safe", _) => RequestKind::Idempotent,
        ("streaming", true) => RequestKind::ResumableStream,
        ("streaming", false) => RequestKind::Stream,
        _ => RequestKind::NonIdempotent,
    };
    let timeout = milliseconds(body.timeout_ms);
    RouteRule {
        name: body.name,
        path_prefix: body.path_prefix,
        kind,
        timeout,
        latency_aim: body.target_latency_ms.map_or(timeout, milliseconds),
        gap_aim: body.gap_aim_ms.map(milliseconds),
        priority: body.priority,
        services: convert_shares(body.service, body.traffic_split),
        max_attempts: body.max_attempts.max(1),
        public: body.public,
    }
}

fn convert_shares(service: Option<String>, split: Option<Vec<SplitBody>>) -> Vec<ServiceShare> {
    let whole = service.map(|service| ServiceShare {
        service: service.into(),
        weight: 1,
    });
    let parts = split
        .unwrap_or_default()
        .into_iter()
        .map(|part| ServiceShare {
            service: part.service.into(),
            // Weights may be fractions; counting in thousandths keeps their ratios.
            weight: (part.weight * 1000.0).round() as u32,
        });
    let parts = parts.collect::<Vec<_>>();
    match parts.is_empty() {
        true => whole.into_iter().collect(),
        false => parts,
    }
}

fn convert_service(body: ServiceBody) -> ServiceSpec {
    ServiceSpec {
        name: body.name.into(),
        health_path: body.health_path,
        engine: body.engine.and_then(convert_engine),
    }
}

/// Returns `None` for engines that hold whole models: they are plain targets.
fn convert_engine(body: EngineBody) -> Option<EngineModel> {
    if body.layers == 0 || body.kind_list.is_empty() {
        return None;
    }
    let kinds = body.kind_list.into_iter().map(|kind| {
        let accelerator = AcceleratorKind {
            memory_mb: kind.mb,
            pace: kind.pace,
            read_factor: kind.read_x,
        };
        (kind.name, accelerator)
    });
    let usual = body.usual.as_ref();
    Some(EngineModel {
        slots: body.slots.max(1),
        layers: body.layers,
        layer_mb: body.layer_mb,
        kv_token_bytes: body.kv_token_bytes,
        step_ms: body.step_ms,
        per_request_ms: body.per_seq_ms,
        per_context_k_ms: body.context_per_k,
        read_per_s: body.read_per_s,
        stride: body.stride.max(1),
        load_s: body
            .models
            .first()
            .and_then(|model| model.load_s)
            .unwrap_or(0.0),
        usual_prompt: usual.map_or(0, |usual| usual.prompt as u32),
        usual_answer: usual.map_or(0, |usual| usual.answer as u32),
        kinds: kinds.collect(),
    })
}

fn convert_keys(bodies: Vec<OrganisationBody>) -> FastMap<Box<str>, KeyHolder> {
    let mut keys = FastMap::default();
    for body in bodies {
        let holder = KeyHolder {
            organisation: body.name.into(),
            priority: body.priority,
        };
        for key in body.api_keys {
            keys.insert(key, holder.clone());
        }
    }
    keys
}

fn convert_limits(body: LimitsBody) -> CallerLimits {
    CallerLimits {
        header_bytes: body.max_header_bytes,
        body_bytes: body.max_body_bytes,
        idle: milliseconds(body.idle_timeout_ms),
    }
}

/// Converts milliseconds to a duration of at most a year, so that sums of times do not
/// overflow.
fn milliseconds(value: f64) -> Duration {
    const YEAR_MS: f64 = 365.0 * 86_400_000.0;
    Duration::from_secs_f64(value.clamp(0.0, YEAR_MS) / 1000.0)
}
