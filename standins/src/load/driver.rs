//! Sends the planned requests at their times and collects the responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use jackdawwick::api::wire::{GenerateBody, ResumeToken, StreamEvent};
use jackdawwick::ids::TokenValue;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout};

use super::outcome::{CallOutcome, GenerationOutcome, LoadOutcomes};
use super::{PlannedKind, PlannedRequest, TrafficMix};
use crate::caller::{CallResponse, CallerClient, OutgoingCall, new_key};
use crate::check::{CallHistory, GenerationHistory};
use crate::declarations::VERSION;
use crate::fleet::Fleet;

/// Maximum number of times that a caller sends one request after lost connections.
const MAX_SENDS: usize = 4;
/// Time after the deadline at which a caller gives up.
const CALLER_GRACE: Duration = Duration::from_secs(10);

/// State that all callers share.
#[derive(Debug)]
pub(super) struct LoadDriver {
    /// Entry hosts, including dead ones: the load balancer notices a failure late.
    hosts: Vec<SocketAddr>,
    /// One caller per organisation.
    callers: Vec<CallerClient>,
    organisations: Vec<String>,
    model: String,
    layers: u32,
    plain_path: String,
    keyed_path: String,
    mix: TrafficMix,
}

enum RequestOutcome {
    Generation(GenerationOutcome),
    Call(CallOutcome),
}

/// Result of one call, over all its sends.
struct SentCall {
    reply: Option<CallResponse>,
    lost_sends: usize,
}

impl LoadDriver {
    pub(super) fn new(fleet: &Fleet, mix: TrafficMix) -> Arc<Self> {
        let layout = &fleet.layout;
        let service = &layout.service;
        let names = layout
            .organisations
            .iter()
            .map(|organisation| organisation.name.clone());
        let organisations: Vec<String> = names.collect();
        Arc::new(Self {
            hosts: fleet.daemons.iter().map(|daemon| daemon.callers).collect(),
            callers: organisations
                .iter()
                .map(|name| CallerClient::open(name))
                .collect(),
            organisations,
            model: layout.model.clone(),
            layers: layout.layers(),
            plain_path: format!("{}/{}", service.name, service.plain_operation),
            keyed_path: format!("{}/{}", service.name, service.non_idempotent),
            mix,
        })
    }

    /// Sends every request at its time after `start`, regardless of earlier responses,
    /// and waits for the last response.
    pub(super) async fn drive(
        self: Arc<Self>,
        planned: Vec<PlannedRequest>,
        start: Instant,
    ) -> LoadOutcomes {
        let mut requests = JoinSet::new();
        for request in planned {
            let intended = start + request.at;
            sleep_until(intended.into()).await;
            requests.spawn(Arc::clone(&self).send(request, intended));
        }
        let mut outcomes = LoadOutcomes::default();
        while let Some(ended) = requests.join_next().await {
            match ended {
                Ok(RequestOutcome::Generation(outcome)) => outcomes.generations.push(outcome),
                Ok(RequestOutcome::Call(outcome)) => outcomes.calls.push(outcome),
                Err(error) => log::error!("caller task failed: {error}"),
            }
        }
        outcomes
    }

    async fn send(self: Arc<Self>, planned: PlannedRequest, intended: Instant) -> RequestOutcome {
        match &planned.kind {
            PlannedKind::Generate { prompt } => {
                let outcome = self.generate(&planned, prompt.clone(), intended).await;
                RequestOutcome::Generation(outcome)
            }
            PlannedKind::Plain => {
                RequestOutcome::Call(self.call(&planned, None, false, intended).await)
            }
            PlannedKind::Keyed { random, doubled } => {
                let key = new_key(SystemTime::now(), *random);
                RequestOutcome::Call(self.call(&planned, Some(key), *doubled, intended).await)
            }
        }
    }

    fn host(&self, first: usize, sends: usize) -> SocketAddr {
        self.hosts[(first + sends) % self.hosts.len()]
    }

    /// Requests a generation. After a lost connection the caller resumes at the next host
    /// with the tokens received so far.
    async fn generate(
        &self,
        planned: &PlannedRequest,
        prompt: Vec<TokenValue>,
        intended: Instant,
    ) -> GenerationOutcome {
        let mut outcome = GenerationOutcome {
            intended,
            organisation: planned.organisation,
            host: planned.host,
            history: GenerationHistory {
                request: planned.request.as_str().into(),
                organisation: self.organisations[planned.organisation].as_str().into(),
                model: self.model.clone(),
                version: VERSION.to_owned(),
                layers: self.layers,
                prompt,
                max_tokens: self.mix.max_tokens,
                responses: Vec::new(),
            },
        };
        let caller = &self.callers[planned.organisation];
        let max_wait = self.mix.deadline + CALLER_GRACE;
        for sends in 0..MAX_SENDS {
            let host = self.host(planned.host, sends);
            let body = self.body(&outcome.history, intended);
            let response = caller.generate(host, &planned.request, &body);
            let Ok(response) = timeout(max_wait, response).await else {
                break;
            };
            let is_lost = response.broken;
            outcome.history.responses.push(response);
            if !is_lost {
                break;
            }
        }
        outcome
    }

    fn body(&self, history: &GenerationHistory, intended: Instant) -> GenerateBody {
        let left = self.mix.deadline.saturating_sub(intended.elapsed());
        GenerateBody {
            model: self.model.as_str().into(),
            prompt: history.prompt.clone(),
            max_tokens: history.max_tokens,
            deadline_ms: Some(left.as_millis() as u64),
            priority: 0,
            resume: resume_token(history),
        }
    }

    async fn call(
        &self,
        planned: &PlannedRequest,
        key: Option<String>,
        doubled: bool,
        intended: Instant,
    ) -> CallOutcome {
        let send = |host| self.call_with_failover(planned, key.as_deref(), host);
        let sent = match doubled {
            true => {
                let (first, second) = tokio::join!(send(planned.host), send(planned.host + 1));
                vec![first, second]
            }
            false => vec![send(planned.host).await],
        };
        CallOutcome {
            intended,
            ended: Instant::now(),
            history: CallHistory {
                request: planned.request.as_str().into(),
                organisation: self.organisations[planned.organisation].as_str().into(),
                lost_sends: sent.iter().map(|sent| sent.lost_sends).sum(),
                replies: sent.into_iter().map(|sent| sent.reply).collect(),
                key,
            },
        }
    }

    /// Calls the service, and retries at the next host after a lost connection.
    async fn call_with_failover(
        &self,
        planned: &PlannedRequest,
        key: Option<&str>,
        first_host: usize,
    ) -> SentCall {
        let path = match key {
            Some(_) => &self.keyed_path,
            None => &self.plain_path,
        };
        let caller = &self.callers[planned.organisation];
        let max_wait = self.mix.deadline + CALLER_GRACE;
        for lost_sends in 0..MAX_SENDS {
            let call = OutgoingCall {
                path,
                body: "{}".into(),
                key,
            };
            let host = self.host(first_host, lost_sends);
            let reply = caller.call_service(host, &planned.request, call);
            let reply = match timeout(max_wait, reply).await {
                Ok(Ok(reply)) => Some(reply),
                Ok(Err(_)) => continue,
                Err(_) => None,
            };
            return SentCall { reply, lost_sends };
        }
        SentCall {
            reply: None,
            lost_sends: MAX_SENDS,
        }
    }
}

/// Returns the token with which a caller resumes at another host.
fn resume_token(history: &GenerationHistory) -> Option<ResumeToken> {
    let mut events = history
        .responses
        .iter()
        .flat_map(|response| &response.events);
    let version = events.find_map(|received| match &received.event {
        StreamEvent::Started { version, .. } => Some(version.clone()),
        _ => None,
    })?;
    let tokens = history.numbered_tokens();
    Some(ResumeToken {
        request: history.request.clone(),
        version,
        delivered: tokens.into_iter().map(|(_, token)| token).collect(),
    })
}
