//! Verdicts of calls to targets that fail at each point, and complete runs through the
//! client.

#[path = "target_client/driver.rs"]
mod driver;
#[path = "target_client/tiny_server.rs"]
mod tiny_server;

use std::net::SocketAddr;
use std::time::Duration;

use jackdawwick::reason::RetryReason;
use jackdawwick::run::StepFailure;
use jackdawwick::target::client::{CallRequest, TargetClient, TargetTimeouts};
use jackdawwick::target::wire::{StepLabel, StepRequest, StepResponse, TargetRefusalKind};
use jackdawwick::verdict::RunVerdict;
use tiny_server::{TinyReply, TinyServer};

const SHORT: Duration = Duration::from_millis(500);
const REFUSAL: &str = r#"{"refused":"overloaded"}"#;

fn client(response: Duration) -> TargetClient {
    TargetClient::open(TargetTimeouts {
        connect: Duration::from_secs(5),
        response,
        per_position: Duration::ZERO,
    })
}

fn step_request() -> StepRequest {
    StepRequest {
        label: StepLabel {
            request: "r".into(),
            attempt: 0,
            stage: 0,
        },
        model: "m".into(),
        version: "v".into(),
        first_layer: 0,
        last_layer: 1,
        position: 0,
        inputs: vec![1],
        priority: 0,
    }
}

fn step_response() -> String {
    let response = StepResponse {
        label: step_request().label,
        position: 0,
        outputs: vec![2],
    };
    serde_json::to_string(&response).expect("encode")
}

/// Sends a step to a server that always reacts with `reply`. Also returns the number of
/// complete requests that the server read.
async fn send_step(reply: TinyReply) -> (Result<StepResponse, StepFailure>, usize) {
    let server = TinyServer::bind(move |request| match (&reply, request) {
        (TinyReply::ResetUnread, _) => Some(TinyReply::ResetUnread),
        (_, None) => None,
        (reply, Some(_)) => Some(reply.clone()),
    });
    let server = server.await;
    let response = client(SHORT).step(server.address, &step_request()).await;
    let seen = server.seen.lock().len();
    (response, seen)
}

/// Guards against a request that runs twice because its caller received `not_run`.
/// Neither a failure after connecting nor a bare status may count as a refusal, at
/// whichever point the call fails, and the library must not resend the request.
#[tokio::test]
async fn verdict_is_not_run_only_if_certain() {
    use RetryReason::{ResponseLost, ResponseMismatched, TargetRefused};
    use RunVerdict::{MayHaveRun, NotRun};
    let huge = step_response() + &" ".repeat(9 * 1024 * 1024);
    let cases = [
        (TinyReply::ResetUnread, ResponseLost, MayHaveRun, 0),
        (TinyReply::ResetRead, ResponseLost, MayHaveRun, 1),
        (TinyReply::ResetMidResponse, ResponseLost, MayHaveRun, 1),
        (TinyReply::Silence, ResponseLost, MayHaveRun, 1),
        (
            TinyReply::Response(503, REFUSAL.into()),
            TargetRefused,
            NotRun,
            1,
        ),
        (
            TinyReply::Response(429, REFUSAL.into()),
            TargetRefused,
            NotRun,
            1,
        ),
        (
            TinyReply::Response(500, REFUSAL.into()),
            ResponseMismatched,
            MayHaveRun,
            1,
        ),
        (
            TinyReply::Response(503, "busy".into()),
            ResponseMismatched,
            MayHaveRun,
            1,
        ),
        (
            TinyReply::Response(200, "{}".into()),
            ResponseMismatched,
            MayHaveRun,
            1,
        ),
        (
            TinyReply::Response(200, huge),
            ResponseMismatched,
            MayHaveRun,
            1,
        ),
    ];
    for (reply, reason, verdict, requests) in cases {
        let is_silent = matches!(reply, TinyReply::Silence);
        let name: String = format!("{reply:?}").chars().take(60).collect();
        let (response, seen) = send_step(reply).await;
        let failure = response.expect_err(&name);
        assert_eq!(
            (failure.reason, failure.verdict),
            (reason, verdict),
            "{name}"
        );
        assert_eq!(failure.timed_out, is_silent, "{name}");
        assert_eq!(seen, requests, "{name}: sent more than once, or not at all");
    }

    let unused = TinyServer::bind(|_| None).await.address;
    let closed = SocketAddr::new(unused.ip(), closed_port().await);
    let failure = client(SHORT)
        .step(closed, &step_request())
        .await
        .expect_err("closed");
    assert_eq!(failure.reason, RetryReason::ConnectFailed);
    assert_eq!(failure.verdict, NotRun);

    let (response, _) = send_step(TinyReply::Response(200, step_response())).await;
    assert_eq!(response.expect("a response").outputs, [2]);
    let (response, _) = send_step(TinyReply::Response(
        409,
        r#"{"refused":"unknown_position"}"#.into(),
    ))
    .await;
    let refusal = response.expect_err("refused").refusal.expect("typed");
    assert_eq!(refusal.refused, TargetRefusalKind::UnknownPosition);
}

/// Guards against a charge that is made twice because a connection that broke before the
/// response counts as one that was never opened. The connection of a call that may not be
/// repeated breaks at each point after it was opened.
#[tokio::test]
async fn single_call_is_sent_once_and_not_run_only_if_certain() {
    use RunVerdict::{MayHaveRun, NotRun};
    let cases = [
        (TinyReply::ResetUnread, MayHaveRun, 0),
        (TinyReply::ResetRead, MayHaveRun, 1),
        (TinyReply::ResetMidResponse, MayHaveRun, 1),
        (TinyReply::Silence, MayHaveRun, 1),
        (TinyReply::Response(503, REFUSAL.into()), NotRun, 1),
        (TinyReply::Response(500, REFUSAL.into()), RunVerdict::Ran, 1),
    ];
    for (reply, verdict, requests) in cases {
        let name = format!("{reply:?}");
        let server = TinyServer::bind(move |request| match (&reply, request) {
            (TinyReply::ResetUnread, _) => Some(TinyReply::ResetUnread),
            (_, None) => None,
            (reply, Some(_)) => Some(reply.clone()),
        });
        let server = server.await;
        let call = CallRequest {
            operation: "charge".to_owned(),
            headers: http::HeaderMap::new(),
            body: bytes::Bytes::from_static(b"{}"),
            use_pool: false,
        };
        let connection = client(SHORT).open_single(server.address).await;
        assert_eq!(server.seen.lock().len(), 0, "{name}: sent while connecting");
        let reported = match connection.expect("connected").send(call).await {
            Ok(_) => RunVerdict::Ran,
            Err(failure) => failure.verdict(),
        };
        assert_eq!(reported, verdict, "{name}");
        assert_eq!(server.seen.lock().len(), requests, "{name}");
    }
    let closed = SocketAddr::from(([127, 0, 0, 1], closed_port().await));
    let failure = client(SHORT).open_single(closed).await.expect_err("closed");
    assert_eq!(failure.verdict(), NotRun);
}

async fn closed_port() -> u16 {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    listener.local_addr().expect("address").port()
}

/// Guards against a charge that is made twice because the client resends the call on
/// another connection, although the service may have received the first one. The service
/// closes a pooled connection just as the next call is sent on it.
#[tokio::test]
async fn closed_connections_never_repeat_a_call() {
    const CALLS: usize = 200;
    for use_pool in [true, false] {
        let server = TinyServer::bind(|request| {
            request.map(|_| TinyReply::ResponseThenClose(200, "{}".to_owned()))
        });
        let server = server.await;
        let client = client(SHORT);
        let mut succeeded = 0;
        for _ in 0..CALLS {
            let call = CallRequest {
                operation: "charge".to_owned(),
                headers: http::HeaderMap::new(),
                body: bytes::Bytes::from_static(b"{}"),
                use_pool,
            };
            match client.call(server.address, call).await {
                Ok(_) => succeeded += 1,
                Err(failure) => assert_eq!(failure.verdict(), RunVerdict::MayHaveRun),
            }
        }
        let seen = server.seen.lock().len();
        assert!(succeeded <= seen && seen <= CALLS, "{succeeded} of {seen}");
        assert!(
            use_pool || succeeded == CALLS,
            "a new connection is not stale"
        );
    }
}
