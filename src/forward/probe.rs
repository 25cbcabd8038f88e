//! Short requests to targets: reports, orders, health checks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;

use super::head_limit::LinkBody;
use crate::buffer::collect_body;
use crate::fleet::EngineReport;
use crate::forward::ServingTables;
use crate::ids::TargetId;
use crate::platform::target_notice::parse_notice;
use crate::platform::{names, target_record};

/// Largest body of a response, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Age up to which a report is reused: reports lag by 200 ms anyway, and all streams of
/// an engine stall at the same moment.
const MAX_REPORT_AGE: Duration = Duration::from_millis(150);
/// Longest time for an engine to report: link delays are below a millisecond, and a
/// report waits for no slot.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// A target's response to a short request.
#[derive(Debug, Clone)]
pub struct TargetReply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Why a short request got no usable response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallFailure {
    /// No connection was established; nothing was sent.
    #[error("no connection: {0}")]
    Unconnected(String),
    /// The target accepted the connection and did not respond in time.
    #[error("no answer in time")]
    NoAnswer,
    /// The connection broke, or the response cannot be used.
    #[error("{0}")]
    Unusable(String),
}

/// Sends a request to a target on a new connection and reads the response. A host that has
/// lost its link to the target sends it through a gateway.
///
/// # Errors
///
/// If the response is not complete within `limit`.
pub async fn call_target(
    tables: &Arc<ServingTables>,
    target: &TargetId,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<TargetReply, CallFailure> {
    let until = Instant::now() + limit;
    let link = tables.open_link(target, address, limit);
    let link = match tokio::time::timeout_at(until.into(), link).await {
        Ok(Ok(link)) => link,
        Ok(Err(error)) => return Err(CallFailure::Unconnected(error.to_string())),
        Err(_) => return Err(CallFailure::Unconnected("timeout".to_owned())),
    };
    let unusable = |error: &dyn std::error::Error| CallFailure::Unusable(error.to_string());
    let call = async {
        let response = link
            .send(tables, target, request.map(LinkBody::Left), |_| ())
            .await;
        let response = response.map_err(|error| unusable(&error))?;
        let (head, body) = response.response.into_parts();
        let body = collect_body(body, MAX_BODY_BYTES, tables.response_budget.open()).await;
        let body = body.map_err(|error| unusable(&error))?;
        Ok(TargetReply {
            status: head.status,
            headers: head.headers,
            body: body.into_bytes(),
        })
    };
    match tokio::time::timeout_at(until.into(), call).await {
        Ok(result) => result,
        Err(_) => Err(CallFailure::NoAnswer),
    }
}

/// Returns an engine's report that is at most 150 ms old. Concurrent callers share one
/// request.
///
/// # Errors
///
/// If the engine gives no usable report in time.
pub async fn fetch_report(
    tables: &Arc<ServingTables>,
    target: &TargetId,
    address: SocketAddr,
    now: Instant,
) -> Result<Arc<EngineReport>, CallFailure> {
    let cell = tables.report_cell(target);
    let mut cached = cell.lock().await;
    match &*cached {
        Some((at, report)) if now.saturating_duration_since(*at) < MAX_REPORT_AGE => report.clone(),
        _ => {
            let report = request_report(tables, target, address).await;
            let report = report.map(Arc::new).inspect_err(|error| {
                log::info!(
                    target_id:% = target, address:% = address, error:% = error;
                    "no report from engine"
                );
            });
            *cached = Some((Instant::now(), report.clone()));
            report
        }
    }
}

/// Rejects a report of another start of the engine, which shows only that this start has
/// ended.
fn same_start(target: &TargetId, report: EngineReport) -> Result<EngineReport, CallFailure> {
    let reporting = target_record::start_id(target_record::platform_id(target), report.started_ms);
    match report.started_ms.is_none() || reporting == *target {
        true => Ok(report),
        false => Err(CallFailure::Unusable(format!(
            "engine restarted as {reporting}"
        ))),
    }
}

async fn request_report(
    tables: &Arc<ServingTables>,
    target: &TargetId,
    address: SocketAddr,
) -> Result<EngineReport, CallFailure> {
    let request = Request::get(names::REPORT_PATH).header(http::header::HOST, address.to_string());
    let request = request
        .body(Full::default())
        .map_err(|error| CallFailure::Unusable(error.to_string()))?;
    let reply = call_target(tables, target, address, request, REPORT_TIMEOUT).await?;
    let report = match reply.status {
        StatusCode::OK => {
            target_record::parse_report(&reply.body).map_err(CallFailure::Unusable)?
        }
        status => return Err(CallFailure::Unusable(format!("status {status}"))),
    };
    let report = same_start(target, report)?;
    tables.observe_leaving(target, &parse_notice(&reply.headers));
    Ok(report)
}
