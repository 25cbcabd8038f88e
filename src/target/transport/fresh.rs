//! A dedicated connection for one call that may not be repeated.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::{RawResponse, describe, read_response};
use crate::target::TargetFailure;

/// An open connection on which nothing has been sent.
#[derive(Debug)]
pub(in crate::target) struct FreshConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl FreshConnection {
    /// Connects without sending anything.
    pub(in crate::target) async fn open(
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, TargetFailure> {
        match tokio::time::timeout(timeout, connect(address)).await {
            Ok(sender) => Ok(Self {
                address,
                sender: sender.map_err(TargetFailure::Connect)?,
            }),
            Err(_) => Err(TargetFailure::Connect("timed out".to_owned())),
        }
    }

    /// Sends one request and reads the response, up to `max_bytes`.
    ///
    /// Every failure except a refusal by the target counts as "may have run", because
    /// bytes may have been written.
    pub(in crate::target) async fn send(
        mut self,
        mut request: Request<Full<Bytes>>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<RawResponse, TargetFailure> {
        let host = HeaderValue::from_str(&self.address.to_string());
        let host = host.map_err(|error| TargetFailure::Connect(error.to_string()))?;
        request.headers_mut().insert(header::HOST, host);
        let exchange = async {
            let sent = self.sender.send_request(request).await;
            let response = sent.map_err(|error| TargetFailure::ResponseLost(describe(&error)))?;
            read_response(response, max_bytes).await
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(response) => response,
            Err(_) => Err(TargetFailure::TimedOut),
        }
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    let (mut sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|error| describe(&error))?;
    // The task ends when the sender is dropped and the response has been read.
    tokio::spawn(connection);
    sender.ready().await.map_err(|error| describe(&error))?;
    Ok(sender)
}
