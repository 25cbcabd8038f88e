//! An operator that declares resources on an entry host.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use jackdawwick::api::wire::{AcceptedBody, ApplyBody, ResourceView};
use jackdawwick::ids::LogOffset;
use jackdawwick::resources::{ResourceKey, ResourceSpec};
use serde::de::DeserializeOwned;

use crate::caller::token_of;
use crate::json_client::{CallError, JsonResponse};

/// Operator known to every daemon that the stand-ins start.
pub const OPERATOR: &str = "operator-1";

/// A resource to declare.
#[derive(Debug, Clone, PartialEq)]
pub struct Declaration {
    /// Kind and name.
    pub key: ResourceKey,
    /// Specification to declare.
    pub spec: ResourceSpec,
}

impl Declaration {
    /// Creates a declaration; the kind of the resource is that of `spec`.
    pub fn new(name: &str, spec: ResourceSpec) -> Self {
        Self {
            key: ResourceKey::new(spec.kind(), name),
            spec,
        }
    }
}

/// Sends one call as [`OPERATOR`].
pub async fn operate(
    host: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<JsonResponse, CallError> {
    operate_as(OPERATOR, host, method, path, body).await
}

/// Sends one call as the given operator.
pub async fn operate_as(
    operator: &str,
    host: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<JsonResponse, CallError> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{host}{path}"))
        .header("authorization", format!("Bearer {}", token_of(operator)))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))?;
    let client = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .retry_canceled_requests(false)
        .build_http();
    let response = client.request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    Ok(JsonResponse { status, body })
}

/// Reads a path of the operators' interface and parses the response.
pub async fn read<T>(host: SocketAddr, path: &str) -> Result<T, CallError>
where
    T: DeserializeOwned,
{
    let reply = operate(host, Method::GET, path, Vec::new()).await?;
    match reply.status {
        StatusCode::OK => Ok(reply.json()?),
        status => Err(format!("{path}: {status}: {:?}", reply.body).into()),
    }
}

/// Declares a resource, based on the version that the operator last read.
pub async fn apply(
    host: SocketAddr,
    declaration: &Declaration,
    based_on: Option<LogOffset>,
) -> Result<JsonResponse, CallError> {
    apply_as(OPERATOR, host, declaration, based_on).await
}

/// Declares a resource as the given operator.
pub async fn apply_as(
    operator: &str,
    host: SocketAddr,
    declaration: &Declaration,
    based_on: Option<LogOffset>,
) -> Result<JsonResponse, CallError> {
    let body = ApplyBody {
        spec: declaration.spec.clone(),
        based_on,
    };
    let path = path_of(&declaration.key);
    operate_as(
        operator,
        host,
        Method::PUT,
        &path,
        serde_json::to_vec(&body)?,
    )
    .await
}

/// Deletes a resource.
pub async fn delete(
    host: SocketAddr,
    key: &ResourceKey,
    based_on: LogOffset,
) -> Result<JsonResponse, CallError> {
    let path = format!("{}?based_on={based_on}", path_of(key));
    operate(host, Method::DELETE, &path, Vec::new()).await
}

/// Declares resources one after the other, each based on its current version, and returns
/// the offset of the last change.
pub async fn declare_all(
    host: SocketAddr,
    declarations: &[Declaration],
) -> Result<LogOffset, CallError> {
    let mut last = 0;
    for declaration in declarations {
        let path = path_of(&declaration.key);
        let present = operate(host, Method::GET, &path, Vec::new()).await?;
        let based_on = match present.status {
            StatusCode::OK => Some(present.json::<ResourceView>()?.version),
            _ => None,
        };
        let reply = apply(host, declaration, based_on).await?;
        if reply.status != StatusCode::OK {
            return Err(format!("{}: {:?}", declaration.key, reply.body).into());
        }
        last = reply.json::<AcceptedBody>()?.version;
    }
    Ok(last)
}

/// Returns the path of a resource on the operators' listener.
pub fn path_of(key: &ResourceKey) -> String {
    format!("/v1/resources/{}/{}", key.kind.name(), key.name)
}
