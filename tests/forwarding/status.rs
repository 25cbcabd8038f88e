//! Tests responses whose status line is none of the protocol.

use crate::gateway::{TestGateway, add_blocked, host_with};
use crate::host::TestHost;
use crate::stub_target::{Step, StubTarget, chunk, event, last_chunk};

/// Status lines that no response of the protocol has.
const ODD_LINES: [&str; 14] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 101 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 +20 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/9.9 200 OK",
    "HTP/1.1 200 OK",
    "200 OK",
];

fn odd_response(line: &str, id: &str, stream: bool) -> Vec<Step> {
    let headers = format!("x-jackdawwick-attempt-id: {id}\r\nx-jackdawwick-server-seal: s\r\n");
    match stream {
        false => vec![Step::Write(format!(
            "{line}\r\n{headers}content-length: 4\r\n\r\nodd!"
        ))],
        true => vec![
            Step::Write(format!(
                "{line}\r\n{headers}content-type: text/event-stream\r\n\
                 transfer-encoding: chunked\r\n\r\n"
            )),
            event(1),
            chunk("id: 2\ndata: odd!\n\n"),
            last_chunk(),
        ],
    }
}

async fn odd_target(line: &'static str, stream: bool) -> StubTarget {
    StubTarget::spawn(move |seen| odd_response(line, seen.id(), stream)).await
}

/// Guards against bytes that are no response which a caller gets as one, and against a request
/// that may have run and is refused as one that has not.
#[tokio::test]
async fn a_response_without_a_status_is_not_passed_on() {
    for line in ODD_LINES {
        for (path, stream) in [("/unsafe/", false), ("/stream/", true)] {
            let target = odd_target(line, stream).await;
            let host = TestHost::open();
            host.add_plain("i-1", target.address);
            host.add_engine("i-2", target.address, 0, 80);
            let response = host.call("POST", path, "Content-Length: 0\r\n").await;
            assert_eq!(response.status(), 502, "{line} {path}: {}", response.text);
            assert!(!response.text.contains("odd!"), "{line} {path}");
            assert!(
                response.text.contains("\"verdict\":\"may_have_run\""),
                "{line} {path}: {}",
                response.text
            );
        }
    }
}

/// Guards against the same response that arrives through a gateway.
#[tokio::test]
async fn a_response_without_a_status_is_not_passed_on_by_a_gateway() {
    for line in ODD_LINES {
        let target = odd_target(line, false).await;
        let gateway = TestGateway::open();
        let (host, _) = host_with(&[&gateway]);
        add_blocked(&host, &[&gateway], "i-1", &target).await;
        let response = host.call("POST", "/unsafe/", "Content-Length: 0\r\n").await;
        assert_eq!(response.status(), 502, "{line}: {}", response.text);
        assert!(!response.text.contains("odd!"), "{line}");
        assert!(
            response.text.contains("\"verdict\":\"may_have_run\""),
            "{line}"
        );
        assert_eq!(target.seen().len(), 1, "{line}");
    }
}

/// Guards against an idempotent request that such a response ends although another target lives,
/// and against a statement in it that is believed.
#[tokio::test]
async fn another_target_responds_in_place_of_one_without_a_status() {
    for line in ODD_LINES {
        let odd = odd_target(line, false).await;
        let sound = StubTarget::spawn(|seen| odd_response("HTTP/1.1 200 OK", seen.id(), false));
        let sound = sound.await;
        let host = TestHost::open();
        host.add_plain("i-1", odd.address);
        host.add_plain("i-2", sound.address);
        for _ in 0..4 {
            let response = host.call("GET", "/safe/", "").await;
            assert_eq!(response.status(), 200, "{line}: {}", response.text);
        }
    }
}
