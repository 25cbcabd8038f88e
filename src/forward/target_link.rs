//! Connects to targets and sends one request over each connection: over this host's own
//! link, or through a gateway where that link is lost.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::HeaderMap;
use http::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::gateway_link::{GatewayLink, GatewayUse, mark_target, stated_result};
use super::head_limit::{HeadLimit, LinkBody, LinkSender, MAX_HEAD_BYTES, TargetBody};
use super::pending_reads::PendingReads;
use super::tables::ServingTables;
use crate::gateway::GatewayResult;
use crate::ids::TargetId;
use crate::platform::names;
use crate::reachability::TargetWay;

/// A connection over which one request is sent to a target.
#[derive(Debug)]
pub(super) struct TargetLink {
    sender: LinkSender,
    /// The gateway, unless the connection leads to the target itself.
    gateway: Option<GatewayUse>,
}

/// The head of a target's response, and the gateway that passed it on.
#[derive(Debug)]
pub(super) struct TargetResponse {
    pub(super) response: Response<TargetBody>,
    pub(super) gateway: Option<GatewayUse>,
}

/// Why a request over an established connection got no response of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum LinkFailure {
    /// The connection to the target broke after the request was sent.
    #[error("connection broke")]
    Broken,
    /// The connection to the gateway broke after the request was sent.
    #[error("connection to the gateway broke")]
    GatewayBroken,
    /// A gateway gave this result, with which the attempt ends.
    #[error("gateway result: {}", .0.name())]
    Stated(GatewayResult),
    /// No gateway passed the request on.
    #[error("no gateway passed the request on")]
    NoGateway,
}

impl ServingTables {
    /// Connects to a target within `limit`: over this host's own link, or to a gateway if
    /// that link is lost.
    ///
    /// # Errors
    ///
    /// If no connection is established in time; nothing has been sent then.
    pub(super) async fn open_link(
        self: &Arc<Self>,
        target: &TargetId,
        address: SocketAddr,
        limit: Duration,
    ) -> io::Result<TargetLink> {
        if self.way(target) == TargetWay::Gateway
            && let Some(link) = self.open_gateway(&mut Vec::new()).await
        {
            return Ok(link.into());
        }
        let error = match self.connect_target(target, address, limit).await {
            Ok(stream) => return TargetLink::direct(stream, &self.pending_reads(target)).await,
            Err(error) => error,
        };
        match self.way(target) {
            TargetWay::Gateway => {
                let link = self.open_gateway(&mut Vec::new()).await;
                link.map(TargetLink::from).ok_or(error)
            }
            TargetWay::Direct => {
                // The request may try another target meanwhile.
                self.start_asking(target);
                Err(error)
            }
        }
    }
}

impl From<GatewayLink> for TargetLink {
    fn from(link: GatewayLink) -> Self {
        Self {
            sender: link.sender,
            gateway: Some(link.gateway),
        }
    }
}

impl TargetLink {
    async fn direct(stream: TcpStream, reads: &PendingReads) -> io::Result<Self> {
        Ok(Self {
            sender: handshake(stream, reads).await.map_err(io::Error::other)?,
            gateway: None,
        })
    }

    /// Sends a request to `target` and waits for the head of the response. Through a
    /// gateway, sends it to the next one as long as gateways state that they did not pass
    /// it on; `refresh` updates the headers before each further sending.
    ///
    /// # Errors
    ///
    /// If the target's response does not arrive.
    pub(super) async fn send<F>(
        self,
        tables: &Arc<ServingTables>,
        target: &TargetId,
        request: Request<LinkBody>,
        refresh: F,
    ) -> Result<TargetResponse, LinkFailure>
    where
        F: Fn(&mut HeaderMap),
    {
        let Self {
            mut sender,
            gateway,
        } = self;
        match gateway {
            None => {
                let response = sender.send_request(request).await;
                let response = response.map_err(|_| LinkFailure::Broken)?;
                Ok(TargetResponse {
                    response,
                    gateway: None,
                })
            }
            Some(gateway) => {
                let link = GatewayLink { sender, gateway };
                tables.send_through(link, target, request, refresh).await
            }
        }
    }
}

impl ServingTables {
    async fn send_through<F>(
        self: &Arc<Self>,
        mut link: GatewayLink,
        target: &TargetId,
        mut request: Request<LinkBody>,
        refresh: F,
    ) -> Result<TargetResponse, LinkFailure>
    where
        F: Fn(&mut HeaderMap),
    {
        mark_target(request.headers_mut(), target);
        let mut tried = vec![link.gateway.host.clone()];
        loop {
            let gateway = link.gateway.host.clone();
            let id = request.headers().get(names::ATTEMPT_ID).cloned();
            let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("");
            log::info!(
                request:% = id, target_id:% = target, gateway:% = gateway;
                "sent through gateway"
            );
            let response = match link.sender.send_request(request.clone()).await {
                Ok(response) => response,
                Err(error) => {
                    log::debug!("gateway {gateway} failed: {error}");
                    self.observe_gateway_break(&gateway);
                    return Err(LinkFailure::GatewayBroken);
                }
            };
            let Some(result) = stated_result(&response) else {
                self.observe_gateway_response(&gateway);
                return Ok(TargetResponse {
                    response,
                    gateway: Some(link.gateway),
                });
            };
            self.observe_gateway_result(&gateway, result);
            log::info!(
                request:% = id, gateway:% = gateway, result:% = result.name();
                "no response through gateway"
            );
            if result.ends_attempt() {
                return Err(LinkFailure::Stated(result));
            }
            let next = self.open_gateway(&mut tried).await;
            link = next.ok_or(LinkFailure::NoGateway)?;
            refresh(request.headers_mut());
        }
    }
}

/// Starts HTTP on a connection, and counts it among those of its target.
///
/// # Errors
///
/// If the connection is closed.
pub(super) async fn handshake(
    stream: TcpStream,
    reads: &PendingReads,
) -> hyper::Result<LinkSender> {
    let (stream, progress) = HeadLimit::new(stream, reads);
    let (sender, connection) = hyper::client::conn::http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to a target or gateway failed: {error}");
        }
    });
    Ok(LinkSender::new(sender, progress))
}
