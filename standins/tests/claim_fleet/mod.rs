//! A small fleet that records the requests of its callers.

#![allow(
    unreachable_pub,
    dead_code,
    reason = "each test file uses a part of it"
)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::StatusCode;
use jackdawwick::api::wire::{ForceView, GenerateBody, RefusalBody, StatusView};
use jackdawwick::verdict::RunVerdict;
use parking_lot::Mutex;
use standins::caller::{CallResponse, CallerClient, GenerationResponse, OutgoingCall};
use standins::check::{
    CallHistory, GenerationHistory, RunHistory, TargetSteps, check_at_most_once, check_not_run,
};
use standins::daemon_settings::DaemonConfig;
use standins::declarations::VERSION;
use standins::engine::EngineServer;
use standins::fleet::{
    EnginePlan, Fleet, FleetDaemon, FleetLayout, OrganisationPlan, ServicePlan, StagePlan, ZonePlan,
};
use standins::operator;
use standins::service::{CallRecord, ServiceServer};
use uuid::Builder;

use crate::support::{DaemonProcess, TestError, TestResult, eventually};

pub const ZONE: &str = "vake";
pub const MODEL: &str = "receipt-reader";
pub const ORGANISATION: &str = "desk";
pub const OTHER_ORGANISATION: &str = "office";
/// Organisation that may run one request at a time.
pub const SMALL_ORGANISATION: &str = "stall";
pub const SETTLE: &str = "ledger/settle";
pub const BALANCE: &str = "ledger/balance";
pub const PROMPT: [u64; 3] = [11, 22, 33];
pub const LAYERS: u32 = 4;
const GENERATION_DEADLINE_MS: u64 = 4_000;

/// A fleet with the requests and responses of its callers.
pub struct ClaimFleet {
    pub fleet: Fleet,
    pub recorder: Arc<CallRecorder>,
}

/// Requests that callers sent, with their responses.
#[derive(Debug, Default)]
pub struct CallRecorder {
    sent_calls: Mutex<Vec<CallHistory>>,
    generations: Mutex<Vec<GenerationHistory>>,
}

/// Outcome of one call, as its caller sees it.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// Response of the service.
    Response(Vec<u8>),
    /// Refusal by the router or the target.
    Refused(RefusalBody),
    /// No response, because the connection broke.
    NoResponse,
}

impl CallOutcome {
    pub fn is_response(&self) -> bool {
        matches!(self, Self::Response(_))
    }

    pub fn response(&self) -> Result<&[u8], TestError> {
        match self {
            Self::Response(body) => Ok(body),
            other => Err(format!("no response: {other:?}").into()),
        }
    }

    pub fn verdict(&self) -> Option<RunVerdict> {
        match self {
            Self::Refused(body) => Some(body.verdict),
            _ => None,
        }
    }

    pub fn refusal(&self) -> Result<&RefusalBody, TestError> {
        match self {
            Self::Refused(body) => Ok(body),
            other => Err(format!("not refused: {other:?}").into()),
        }
    }
}

/// Returns a key created at `created`; keys with different `number`s differ.
pub fn key_created_at(created: SystemTime, number: u64) -> String {
    let age = created.duration_since(UNIX_EPOCH).unwrap_or_default();
    let millis = u64::try_from(age.as_millis()).unwrap_or_default();
    let mut random = [0; 10];
    random[2..].copy_from_slice(&number.to_be_bytes());
    let uuid = Builder::from_unix_timestamp_millis(millis, &random).into_uuid();
    uuid.hyphenated().to_string()
}

/// Returns a key created now.
pub fn new_key(number: u64) -> String {
    key_created_at(SystemTime::now(), number)
}

fn small_layout(entry_hosts: usize, extra_settings: &str) -> FleetLayout {
    let organisation = |(name, concurrent_requests): (&str, u32)| OrganisationPlan {
        name: name.to_owned(),
        concurrent_requests,
        requests_per_second: 10_000,
    };
    let engine = EnginePlan {
        zone: ZONE.to_owned(),
        step_time: Duration::from_millis(1),
        concurrency: 16,
    };
    FleetLayout {
        name: "claims".to_owned(),
        zones: vec![ZonePlan {
            name: ZONE.to_owned(),
            entry_hosts,
        }],
        model: MODEL.to_owned(),
        stages: vec![StagePlan {
            first_layer: 0,
            last_layer: LAYERS - 1,
            engines: vec![engine],
        }],
        service: ServicePlan {
            name: "ledger".to_owned(),
            zones: vec![ZONE.to_owned()],
            call_time: Duration::from_millis(5),
            plain_operation: "balance".to_owned(),
            non_idempotent: "settle".to_owned(),
        },
        organisations: [
            (ORGANISATION, 10_000),
            (OTHER_ORGANISATION, 10_000),
            (SMALL_ORGANISATION, 1),
        ]
        .map(organisation)
        .to_vec(),
        link_delay_ms: 0,
        policy: "estimate".to_owned(),
        seed: 7,
        extra_settings: extra_settings.to_owned(),
    }
}

/// Waits until a host serves both organisations, which shows that it holds a share of the
/// capacity of each.
async fn wait_for_grants(host: SocketAddr) -> TestResult {
    for organisation in [ORGANISATION, OTHER_ORGANISATION] {
        eventually("the host has capacity", || async {
            let caller = CallerClient::open(organisation);
            let body = GenerateBody {
                model: MODEL.into(),
                prompt: PROMPT.to_vec(),
                max_tokens: 1,
                deadline_ms: Some(GENERATION_DEADLINE_MS),
                priority: 0,
                resume: None,
            };
            caller.generate(host, "warm-up", &body).await.is_complete()
        })
        .await?;
    }
    Ok(())
}

impl ClaimFleet {
    /// Starts a fleet and waits until its entry hosts reach each other.
    pub async fn start(entry_hosts: usize, extra_settings: &str) -> Result<Self, TestError> {
        let fleet = Fleet::start(small_layout(entry_hosts, extra_settings)).await?;
        for daemon in &fleet.daemons {
            eventually("the hosts know each other", || async {
                let view = operator::read::<ForceView>(daemon.operators, "/v1/force").await;
                view.is_ok_and(|view| {
                    let reachable = view.hosts.iter().filter(|host| host.reachable);
                    reachable.count() >= entry_hosts
                })
            })
            .await?;
            wait_for_grants(daemon.callers).await?;
        }
        Ok(Self {
            fleet,
            recorder: Arc::default(),
        })
    }

    /// Starts another entry host as a separate process without peers.
    pub async fn start_process(
        &self,
        host: &str,
        extra_settings: &str,
    ) -> Result<DaemonProcess, TestError> {
        let config = DaemonConfig::new(host, ZONE, self.fleet.platform.local_addr());
        let daemon = DaemonProcess::spawn(&config.to_toml(extra_settings))?;
        let first = self.fleet.daemons.first().ok_or("no daemon")?.operators;
        let version = operator::read::<StatusView>(first, "/v1/status").await?;
        eventually("the declarations are in effect", || async {
            let status = operator::read::<StatusView>(daemon.operators, "/v1/status").await;
            status.is_ok_and(|status| status.ready && status.applied >= version.applied)
        })
        .await?;
        wait_for_grants(daemon.callers).await?;
        Ok(daemon)
    }

    pub fn callers(&self, index: usize) -> SocketAddr {
        self.fleet.daemons[index].callers
    }

    pub fn service(&self) -> &ServiceServer {
        &self.fleet.services[0].server
    }

    /// Sends a settlement under a key and records its outcome.
    pub async fn settle(&self, host: SocketAddr, request: &str, key: &str) -> CallOutcome {
        self.settle_as(ORGANISATION, host, request, key).await
    }

    pub async fn settle_as(
        &self,
        organisation: &str,
        host: SocketAddr,
        request: &str,
        key: &str,
    ) -> CallOutcome {
        self.recorder.settle(organisation, host, request, key).await
    }

    /// Retries a settlement until the service responds, each time with a new request id.
    pub async fn settle_until_response(
        &self,
        host: SocketAddr,
        request: &str,
        key: &str,
    ) -> TestResult {
        let attempts = std::cell::Cell::new(0);
        eventually("the key can be used", || async {
            attempts.set(attempts.get() + 1);
            let request = format!("{request}-{}", attempts.get());
            self.settle(host, &request, key).await.is_response()
        })
        .await
    }

    /// Sends an idempotent call and records its outcome.
    pub async fn query_balance(
        &self,
        organisation: &str,
        host: SocketAddr,
        request: &str,
    ) -> CallOutcome {
        let call = OutgoingCall {
            path: BALANCE,
            body: "{}".into(),
            key: None,
        };
        self.recorder.send(organisation, host, request, call).await
    }

    /// Requests a generation, with a key if there is one, and records the response.
    pub async fn generate(
        &self,
        host: SocketAddr,
        request: &str,
        key: Option<&str>,
        max_tokens: u64,
    ) -> GenerationResponse {
        let body = GenerateBody {
            model: MODEL.into(),
            prompt: PROMPT.to_vec(),
            max_tokens,
            deadline_ms: Some(GENERATION_DEADLINE_MS),
            priority: 0,
            resume: None,
        };
        let caller = CallerClient::open(ORGANISATION);
        let response = match key {
            Some(key) => caller.generate_once(host, request, &body, key).await,
            None => caller.generate(host, request, &body).await,
        };
        self.recorder.generations.lock().push(GenerationHistory {
            request: request.into(),
            organisation: ORGANISATION.into(),
            model: MODEL.to_owned(),
            version: VERSION.to_owned(),
            layers: LAYERS,
            prompt: PROMPT.to_vec(),
            max_tokens,
            responses: vec![response.clone()],
        });
        response
    }

    /// Counts the steps that the engine ran for a request of a caller.
    pub fn steps_of(&self, request: &str) -> usize {
        let run = format!("{request}~");
        let records = self.engine().record();
        let own = records.iter().filter(|step| step.request.starts_with(&run));
        own.count()
    }

    pub fn engine(&self) -> &EngineServer {
        &self.fleet.engines[0].server
    }

    /// Counts the calls of a host that are in flight to its targets.
    pub async fn in_flight(&self, daemon: &FleetDaemon) -> u64 {
        let status = operator::read::<StatusView>(daemon.operators, "/v1/status").await;
        status.map_or(0, |status| {
            let targets = status.targets.iter();
            targets.map(|target| target.in_flight).sum()
        })
    }

    /// Returns the calls that ran under a key.
    pub fn runs(&self, key: &str) -> Vec<CallRecord> {
        let is_own = |record: &CallRecord| record.idempotency_key.as_deref() == Some(key);
        let records = self.service().record();
        records.into_iter().filter(is_own).collect()
    }

    /// Returns whether the log has a claim on the key.
    pub fn is_claimed(&self, key: &str) -> bool {
        let records = self.fleet.platform.record("claims");
        records.iter().any(|record| record.body.contains(key))
    }

    /// Counts the withdrawals and outcomes in the log.
    pub fn settlements(&self) -> usize {
        let records = self.fleet.platform.record("claims");
        let settles = records.iter().filter(|record| {
            ["\"withdraw\"", "\"outcome\""]
                .iter()
                .any(|entry| record.body.contains(entry))
        });
        settles.count()
    }

    /// Checks the whole history: no key ran twice, no request ran that was reported as
    /// not run, and all responses under one key are equal.
    pub fn check(&self) -> TestResult {
        let history = RunHistory {
            calls: self.service().record(),
            service_calls: self.recorder.sent_calls.lock().clone(),
            steps: self.steps(),
            generations: self.recorder.generations.lock().clone(),
            ..RunHistory::default()
        };
        let mut broken = check_at_most_once(&history);
        broken.extend(check_not_run(&history));
        if !broken.is_empty() {
            let lines: Vec<String> = broken.iter().map(ToString::to_string).collect();
            return Err(lines.join("\n").into());
        }
        self.check_same_responses()
    }

    fn check_same_responses(&self) -> TestResult {
        let mut responses = BTreeMap::new();
        let sent_calls = self.recorder.sent_calls.lock();
        for call in sent_calls.iter().filter(|call| call.key.is_some()) {
            for reply in call.replies.iter().flatten() {
                let CallOutcome::Response(body) = call_outcome(Some(reply.clone())) else {
                    continue;
                };
                let name = (call.organisation.clone(), call.key.clone());
                let first = responses.entry(name).or_insert_with(|| body.clone());
                if *first != body {
                    return Err(format!("{:?}: two different responses", call.key).into());
                }
            }
        }
        Ok(())
    }

    pub fn steps(&self) -> Vec<TargetSteps> {
        let engines = self.fleet.engines.iter();
        engines
            .map(|engine| TargetSteps {
                target: engine.target.name.as_str().into(),
                records: engine.server.record(),
            })
            .collect()
    }
}

impl CallRecorder {
    /// Sends a settlement under a key and records its outcome.
    pub async fn settle(
        &self,
        organisation: &str,
        host: SocketAddr,
        request: &str,
        key: &str,
    ) -> CallOutcome {
        let call = OutgoingCall {
            path: SETTLE,
            body: format!("{{\"split\":\"{key}\"}}").into(),
            key: Some(key),
        };
        self.send(organisation, host, request, call).await
    }

    async fn send(
        &self,
        organisation: &str,
        host: SocketAddr,
        request: &str,
        call: OutgoingCall<'_>,
    ) -> CallOutcome {
        let key = call.key.map(str::to_owned);
        let reply = CallerClient::open(organisation)
            .call_service(host, request, call)
            .await
            .ok();
        self.sent_calls.lock().push(CallHistory {
            request: request.into(),
            organisation: organisation.into(),
            key,
            replies: vec![reply.clone()],
            lost_sends: 0,
        });
        call_outcome(reply)
    }
}

fn call_outcome(reply: Option<CallResponse>) -> CallOutcome {
    match reply {
        None => CallOutcome::NoResponse,
        Some(reply) if reply.status == StatusCode::OK => CallOutcome::Response(reply.body.to_vec()),
        Some(reply) => match serde_json::from_slice(&reply.body) {
            Ok(body) => CallOutcome::Refused(body),
            Err(_) => CallOutcome::NoResponse,
        },
    }
}
