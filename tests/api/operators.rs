//! Tests of the operators' HTTP interface over a stub backend.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::client::{Headers, Reply, send};
use futures::FutureExt;
use futures::future::ready;
use http::{Method, StatusCode};
use jackdawwick::api::backend::{ApplyCall, ChangeRefusal, OperatorBackend};
use jackdawwick::api::wire::{
    AcceptedBody, ConflictBody, ExplainView, ForceView, RefusalBody, ResourceView, StatusView,
};
use jackdawwick::api::{ApiHandle, ApiSettings, spawn_operators};
use jackdawwick::auth::{CredentialTable, TokenDigest};
use jackdawwick::reason::RefusalReason;
use jackdawwick::resources::{ResourceKey, ResourceKind, ResourceSpec, ServiceSpec};
use jackdawwick::verdict::RunVerdict;
use parking_lot::Mutex;

const BEARER: Headers<'_> = &[("authorization", "Bearer nino-token")];
const LEDGER: &str = "/v1/resources/service/ledger";
/// Current version of the ledger service.
const CURRENT_VERSION: u64 = 41;

/// An operators' listener and the changes that reached its backend.
struct TestServer {
    handle: ApiHandle,
    applied: Arc<Mutex<Vec<ApplyCall>>>,
}

impl TestServer {
    async fn send(&self, method: Method, path: &str, headers: Headers<'_>, body: &str) -> Reply {
        let address = self.handle.local_address();
        send(address, method, path, headers, body).await
    }
}

fn ledger_view() -> ResourceView {
    ResourceView {
        key: ResourceKey::new(ResourceKind::Service, "ledger"),
        spec: ResourceSpec::Service(ServiceSpec {
            targets: vec!["vake-9".into()],
            non_idempotent: Vec::new(),
        }),
        version: CURRENT_VERSION,
        operator: "nino".into(),
    }
}

fn lost_race() -> ChangeRefusal {
    ChangeRefusal::Conflict(ConflictBody {
        winner: Some(CURRENT_VERSION),
        operator: Some("giorgi".into()),
        message: "read the resource and apply again".into(),
    })
}

fn outage() -> RefusalBody {
    RefusalBody::not_run(RefusalReason::LogUnavailable, "the log is down")
}

/// Starts a backend that has one service, accepts changes based on its version, and fails
/// all other calls because the log is unavailable.
fn serve() -> TestServer {
    let applied = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&applied);
    let mut table = CredentialTable::default();
    table.insert("nino".into(), TokenDigest::of_token("nino-token"));
    let backend = OperatorBackend {
        operator_of: Arc::new(move |digest| table.lookup(digest)),
        list: Arc::new(|()| ready(Ok(vec![ledger_view()])).boxed()),
        get: Arc::new(|key| {
            let found = ledger_view();
            let unknown = || RefusalBody::not_run(RefusalReason::Unknown, "no such resource");
            ready((found.key == key).then_some(found).ok_or_else(unknown)).boxed()
        }),
        apply: Arc::new(move |call: ApplyCall| {
            let accepted = call.body.based_on == Some(CURRENT_VERSION);
            seen.lock().push(call);
            let version = CURRENT_VERSION + 1;
            ready(
                accepted
                    .then_some(AcceptedBody { version })
                    .ok_or_else(lost_race),
            )
            .boxed()
        }),
        delete: Arc::new(|call| {
            let accepted = call.based_on == CURRENT_VERSION;
            let version = CURRENT_VERSION + 1;
            ready(
                accepted
                    .then_some(AcceptedBody { version })
                    .ok_or_else(lost_race),
            )
            .boxed()
        }),
        force: Arc::new(|()| ready(Err::<ForceView, _>(outage())).boxed()),
        explain: Arc::new(|request| {
            let view = ExplainView {
                subject: request.to_string(),
                entries: Vec::new(),
            };
            ready(Ok(view)).boxed()
        }),
        status: Arc::new(|()| ready(Err::<StatusView, _>(outage())).boxed()),
        metrics: Arc::new(|| "# EOF\n".to_owned()),
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let settings = ApiSettings::new(SocketAddr::from(([127, 0, 0, 1], 0)), log);
    let handle = spawn_operators(&settings, backend).expect("a free port");
    TestServer { handle, applied }
}

#[tokio::test]
async fn every_path_requires_a_known_token() {
    let server = serve();
    let cases = [
        (Method::GET, "/v1/resources"),
        (Method::GET, "/v1/resources/service"),
        (Method::GET, LEDGER),
        (Method::PUT, LEDGER),
        (Method::DELETE, "/v1/resources/service/ledger?based_on=41"),
        (Method::GET, "/v1/force"),
        (Method::GET, "/v1/explain/r-1"),
        (Method::GET, "/v1/status"),
        (Method::GET, "/metrics"),
    ];
    for (method, path) in cases {
        for headers in [&[][..], &[("authorization", "Bearer nino-toke")]] {
            let reply = server.send(method.clone(), path, headers, "{}").await;
            assert_eq!(reply.status, StatusCode::UNAUTHORIZED, "{method} {path}");
            assert_eq!(reply.header("www-authenticate"), "Bearer");
            assert_eq!(reply.refusal().reason, RefusalReason::Unauthenticated);
        }
    }
    assert!(server.applied.lock().is_empty());
}

#[tokio::test]
async fn a_resource_is_read_with_its_version() {
    let server = serve();
    let reply = server.send(Method::GET, LEDGER, BEARER, "").await;
    assert_eq!(reply.header("etag"), "\"41\"");
    let view: ResourceView = serde_json::from_slice(&reply.body).expect("a resource");
    assert_eq!(view, ledger_view());
    let other = server
        .send(Method::GET, "/v1/resources/model", BEARER, "")
        .await;
    assert_eq!(other.text(), "[]");
    let unknown = server
        .send(Method::GET, "/v1/resources/service/x", BEARER, "")
        .await;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    let kind = server
        .send(Method::GET, "/v1/resources/nothing", BEARER, "")
        .await;
    assert_eq!(kind.status, StatusCode::BAD_REQUEST);
    assert_eq!(kind.refusal().reason, RefusalReason::Malformed);
    let metrics = server.send(Method::GET, "/metrics", BEARER, "").await;
    assert_eq!(metrics.text(), "# EOF\n");
    server.handle.shutdown().await;
}

#[tokio::test]
async fn a_change_is_accepted_or_names_the_winner() {
    let server = serve();
    let change = |based_on: &str| {
        format!(r#"{{"spec":{{"service":{{"targets":["t"]}}}},"based_on":{based_on}}}"#)
    };
    let accepted = server
        .send(Method::PUT, LEDGER, BEARER, &change("41"))
        .await;
    assert_eq!(accepted.text(), r#"{"version":42}"#);
    assert_eq!(&*server.applied.lock()[0].operator, "nino");
    let lost = server
        .send(Method::PUT, LEDGER, BEARER, &change("null"))
        .await;
    assert_eq!(lost.status, StatusCode::CONFLICT);
    let conflict: ConflictBody = serde_json::from_slice(&lost.body).expect("a conflict");
    assert_eq!(conflict.operator.as_deref(), Some("giorgi"));
    let delete_path = format!("{LEDGER}?based_on=40");
    let lost = server.send(Method::DELETE, &delete_path, BEARER, "").await;
    assert_eq!(lost.status, StatusCode::CONFLICT);
    let delete_path = format!("{LEDGER}?based_on=41");
    let deleted = server.send(Method::DELETE, &delete_path, BEARER, "").await;
    assert_eq!(deleted.status, StatusCode::OK);
    let down = server.send(Method::GET, "/v1/force", BEARER, "").await;
    assert_eq!(down.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(down.refusal().verdict, RunVerdict::NotRun);
}

/// Invalid changes are refused before they reach the backend.
#[tokio::test]
async fn a_malformed_change_is_refused() {
    let server = serve();
    let cases = [
        (Method::PUT, LEDGER, "{"),
        (
            Method::PUT,
            LEDGER,
            r#"{"spec":{"service":{"targets":["t"]}},"x":1}"#,
        ),
        (
            Method::PUT,
            LEDGER,
            r#"{"spec":{"service":{"targets":[]}},"based_on":41}"#,
        ),
        (
            Method::PUT,
            "/v1/resources/model/m",
            r#"{"spec":{"service":{"targets":["t"]}}}"#,
        ),
        (
            Method::PUT,
            "/v1/resources/service/a%20b",
            r#"{"spec":{"service":{"targets":["t"]}}}"#,
        ),
        (Method::DELETE, LEDGER, ""),
        (
            Method::DELETE,
            "/v1/resources/service/ledger?based_on=x",
            "",
        ),
    ];
    for (method, path, body) in cases {
        let reply = server.send(method.clone(), path, BEARER, body).await;
        assert_eq!(
            reply.status,
            StatusCode::BAD_REQUEST,
            "{method} {path} {body}"
        );
        assert_eq!(reply.refusal().reason, RefusalReason::Malformed);
    }
    assert!(server.applied.lock().is_empty());
}
