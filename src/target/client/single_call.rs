//! A call that is sent at most once.

use std::net::SocketAddr;

use super::service_calls::{CallRequest, CallResponse, call_request};
use super::{MAX_RESPONSE_BYTES, TargetClient};
use crate::target::transport::FreshConnection;
use crate::target::{CallFailure, TargetFailure};

/// An open connection to a plain service, on which nothing has been sent.
///
/// Connecting takes time. A caller that needs permission to send therefore requests it
/// once the connection is open, so that nothing delays the first byte after it.
#[derive(Debug)]
pub struct SingleCall {
    client: TargetClient,
    address: SocketAddr,
    connection: FreshConnection,
}

impl TargetClient {
    /// Connects for one call without sending anything.
    ///
    /// # Errors
    /// Fails if no connection could be made; the verdict is `NotRun`.
    pub async fn open_single(&self, address: SocketAddr) -> Result<SingleCall, TargetFailure> {
        let timeout = self.transport.connect_timeout();
        Ok(SingleCall {
            client: self.clone(),
            address,
            connection: FreshConnection::open(address, timeout).await?,
        })
    }
}

impl SingleCall {
    /// Sends the call once. [`CallRequest::use_pool`] is ignored.
    ///
    /// # Errors
    /// Fails with a verdict on whether the call may have run.
    pub async fn send(self, call: CallRequest) -> Result<CallResponse, CallFailure> {
        let mut request = call_request(self.address, call)?;
        // On a direct connection the request line contains only the path.
        let path = request.uri().path_and_query().cloned();
        if let Some(path) = path {
            *request.uri_mut() = path.into();
        }
        let timeout = self.client.timeouts.response;
        let response = self.connection.send(request, timeout, MAX_RESPONSE_BYTES);
        Ok(CallResponse::from(response.await?))
    }
}
