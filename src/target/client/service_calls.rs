//! Calls that plain services serve.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;

use super::{MAX_RESPONSE_BYTES, PathSegment, TargetClient, request};
use crate::target::transport::RawResponse;
use crate::target::{CallFailure, TargetFailure};

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Operation; it becomes one path segment.
    pub operation: String,
    /// Headers passed on, such as the request id.
    pub headers: HeaderMap,
    /// Caller's JSON.
    pub body: Bytes,
    /// Whether the call may be sent over a connection used before.
    ///
    /// The far end may close such a connection just as the call is sent;
    /// whether it ran is then unknown. A call that may not be repeated goes
    /// over a new connection, where that does not arise.
    pub use_pool: bool,
}

/// A service's own answer, of any status; it has run.
#[derive(Debug, Clone)]
pub struct CallResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl TargetClient {
    /// Calls a plain service, once.
    ///
    /// # Errors
    /// With the verdict on whether the call may have run.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: CallRequest,
    ) -> Result<CallResponse, CallFailure> {
        let use_pool = call.use_pool;
        let request = call_request(address, call)?;
        let timeout = self.timeouts.response;
        let response = self
            .transport
            .send(request, use_pool, timeout, MAX_RESPONSE_BYTES);
        Ok(CallResponse::from(response.await?))
    }
}

impl From<RawResponse> for CallResponse {
    fn from(response: RawResponse) -> Self {
        Self {
            status: response.status,
            headers: response.headers,
            body: response.body,
        }
    }
}

pub(super) fn call_request(
    address: SocketAddr,
    call: CallRequest,
) -> Result<Request<Full<Bytes>>, TargetFailure> {
    // Some servers resolve these two, also when encoded, to other paths.
    if matches!(call.operation.as_str(), "" | "." | "..") {
        return Err(TargetFailure::Connect("not an operation's name".to_owned()));
    }
    let path = format!("/v1/calls/{}", PathSegment(&call.operation));
    let mut request = request(Method::POST, address, &path, call.body)?;
    request.headers_mut().extend(call.headers);
    Ok(request)
}
