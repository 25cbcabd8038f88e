//! HTTP client for the tests of the HTTP interfaces.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use jackdawwick::api::wire::RefusalBody;
use tokio::time::timeout;

/// Time after which a waiting test fails.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Names and values of headers.
pub(crate) type Headers<'a> = &'a [(&'a str, &'a str)];

/// A response with its complete body.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Reply {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().expect("ASCII"))
    }

    pub(crate) fn text(&self) -> &str {
        std::str::from_utf8(&self.body).expect("UTF-8")
    }

    /// Parses the body as a refusal; panics if it is none.
    pub(crate) fn refusal(&self) -> RefusalBody {
        serde_json::from_slice(&self.body).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// Sends a request and reads the response.
pub(crate) async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: Headers<'_>,
    body: &str,
) -> Reply {
    let uri = format!("http://{address}{path}");
    let mut request = Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .expect("a request");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = async {
        let response = client.request(request).await.expect("a response");
        let (parts, body) = response.into_parts();
        let body = body.collect().await.expect("a whole body").to_bytes();
        Reply {
            status: parts.status,
            headers: parts.headers,
            body,
        }
    };
    timeout(TEST_TIMEOUT, response)
        .await
        .expect("a response in time")
}
