//! A callers' listener over a stub backend.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::ready;
use http::Method;
use jackdawwick::api::backend::{
    AsyncCall, CallerBackend, GenerateCall, GenerateStream, ServiceCall, ServiceResponse,
};
use jackdawwick::api::wire::{RefusalBody, StreamEvent};
use jackdawwick::api::{ApiBounds, ApiHandle, ApiSettings, spawn_callers};
use jackdawwick::auth::{CredentialTable, TokenDigest};
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::client::{Headers, Reply, TEST_TIMEOUT, send};

/// Authorization of the organisation `office`.
pub(crate) const BEARER: (&str, &str) = ("authorization", "Bearer office-token");
/// Body of a valid generation.
pub(crate) const BODY: &str = r#"{"model":"reader","prompt":[1,2],"max_tokens":3}"#;

/// Calls that reached the backend.
#[derive(Default)]
pub(crate) struct ReceivedCalls {
    pub(crate) generations: Mutex<Vec<GenerateCall>>,
    pub(crate) services: Mutex<Vec<ServiceCall>>,
}

/// Backend that tests can configure.
pub(crate) struct StubBackend {
    pub(crate) generate: AsyncCall<GenerateCall, Result<GenerateStream, RefusalBody>>,
    pub(crate) call_service: AsyncCall<ServiceCall, Result<ServiceResponse, RefusalBody>>,
    pub(crate) ready: bool,
    pub(crate) bounds: ApiBounds,
}

impl Default for StubBackend {
    fn default() -> Self {
        Self {
            generate: Arc::new(|call| complete_stream(call).boxed()),
            call_service: Arc::new(|call| echo(call).boxed()),
            ready: true,
            bounds: ApiBounds::default(),
        }
    }
}

impl StubBackend {
    /// Creates a backend that refuses every generation.
    pub(crate) fn refusing(refusal: RefusalBody) -> Self {
        Self {
            generate: Arc::new(move |_| ready(Err(refusal.clone())).boxed()),
            ..Self::default()
        }
    }

    /// Creates a backend that responds to one generation with this stream.
    pub(crate) fn streaming(receiver: GenerateStream) -> Self {
        let slot = Mutex::new(Some(receiver));
        Self {
            generate: Arc::new(move |_| {
                let receiver = slot.lock().take().expect("one generation");
                ready(Ok(receiver)).boxed()
            }),
            ..Self::default()
        }
    }

    /// Changes the bounds.
    pub(crate) fn with_bounds<F>(mut self, change: F) -> Self
    where
        F: FnOnce(&mut ApiBounds),
    {
        change(&mut self.bounds);
        self
    }

    /// Starts the callers' listener over the backend.
    pub(crate) fn serve(self) -> TestServer {
        let received = Arc::new(ReceivedCalls::default());
        let mut table = CredentialTable::default();
        table.insert("office".into(), TokenDigest::of_token("office-token"));
        let (generate, call_service) = (self.generate, self.call_service);
        let (generations, services) = (Arc::clone(&received), Arc::clone(&received));
        let backend = CallerBackend {
            organisation_of: Arc::new(move |digest| table.lookup(digest)),
            generate: Arc::new(move |call| {
                generations.generations.lock().push(call.clone());
                generate(call)
            }),
            call_service: Arc::new(move |call| {
                services.services.lock().push(call.clone());
                call_service(call)
            }),
            ready: Arc::new(move || self.ready),
            healthy: Arc::new(|| true),
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let mut settings = ApiSettings::new(SocketAddr::from(([127, 0, 0, 1], 0)), log);
        settings.bounds = self.bounds;
        let handle = spawn_callers(&settings, backend).expect("a free port");
        TestServer { handle, received }
    }
}

async fn complete_stream(call: GenerateCall) -> Result<GenerateStream, RefusalBody> {
    let (sender, receiver) = mpsc::channel(8);
    let events = [
        StreamEvent::Started {
            request: call.request,
            version: "v1".into(),
        },
        StreamEvent::Token {
            number: 0,
            token: 7,
        },
        StreamEvent::Done { count: 1 },
    ];
    for event in events {
        sender.try_send(event).expect("the channel has room");
    }
    Ok(receiver)
}

async fn echo(call: ServiceCall) -> Result<ServiceResponse, RefusalBody> {
    Ok(ServiceResponse {
        status: 418,
        body: call.body,
        content_type: Some("text/plain".into()),
        replayed: false,
    })
}

/// A callers' listener and the calls that reached its backend.
pub(crate) struct TestServer {
    pub(crate) handle: ApiHandle,
    pub(crate) received: Arc<ReceivedCalls>,
}

impl TestServer {
    /// Sends a generation and reads the response.
    pub(crate) async fn generate(&self, headers: Headers<'_>, body: &str) -> Reply {
        self.send(Method::POST, "/v1/generate", headers, body).await
    }

    /// Sends a request and reads the response.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        headers: Headers<'_>,
        body: &str,
    ) -> Reply {
        send(self.handle.local_address(), method, path, headers, body).await
    }

    /// Opens a connection and sends a request without waiting for the response.
    pub(crate) async fn start_request(&self, request: &str) -> TcpStream {
        let mut caller = self.connect().await;
        let sent = caller.write_all(request.as_bytes()).await;
        sent.expect("bytes are taken");
        caller
    }

    /// Opens a connection for bytes that no client library would send.
    pub(crate) async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.handle.local_address())
            .await
            .expect("a connection")
    }
}

/// Returns the head of a call as raw bytes.
pub(crate) fn raw_head(path: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
         {}: {}\r\ncontent-length: {length}\r\n\r\n",
        BEARER.0, BEARER.1
    )
}

/// Returns a complete generation as raw bytes.
pub(crate) fn raw_generation() -> String {
    raw_head("/v1/generate", BODY.len()) + BODY
}

/// Sends bytes and reads until the listener closes the connection.
pub(crate) async fn send_and_read_all(stream: &mut TcpStream, bytes: &[u8]) -> String {
    stream.write_all(bytes).await.expect("bytes are taken");
    let mut response = Vec::new();
    // A reset after the response also ends the connection; only the bytes before it
    // count.
    let _ = timeout(TEST_TIMEOUT, stream.read_to_end(&mut response))
        .await
        .expect("the listener closes in time");
    String::from_utf8_lossy(&response).into_owned()
}

/// Awaits a future and fails the test on a timeout.
pub(crate) async fn in_time<F>(future: F) -> F::Output
where
    F: Future,
{
    timeout(TEST_TIMEOUT, future).await.expect("in time")
}

/// Waits until a condition holds and fails the test on a timeout.
pub(crate) async fn eventually<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    assert!(timeout(TEST_TIMEOUT, waiting).await.is_ok(), "{what}");
}
