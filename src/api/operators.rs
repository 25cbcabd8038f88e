//! Endpoints for operators.

use std::sync::Arc;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, Header, HttpResponseHeaders, HttpResponseOk,
    Path, Query, RequestContext, endpoint,
};
use http::{HeaderValue, Response, header};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::backend::{ApplyCall, DeleteCall, OperatorBackend};
use super::body::DeferredBody;
use super::credentials::{OperatorHeaders, identify};
use super::head::{is_label, malformed};
use super::response::{ChangeErrorBody, EndpointResponse};
use super::wire::{
    AcceptedBody, ApplyBody, ExplainView, ForceView, RefusalBody, ResourceView, StatusView,
};
use crate::ids::{LogOffset, OperatorId};
use crate::resources::{ResourceKey, ResourceKind};

type Shared = Arc<OperatorBackend>;

/// Media type of the OpenMetrics text format.
const METRICS_MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A kind of resource.
#[derive(Debug, Deserialize, JsonSchema)]
struct KindPath {
    /// Kind of the resources.
    kind: ResourceKind,
}

/// One resource.
#[derive(Debug, Deserialize, JsonSchema)]
struct ResourcePath {
    /// Kind of the resource.
    kind: ResourceKind,
    /// Name, unique within the kind: 1 to 128 visible ASCII characters.
    name: String,
}

/// One request.
#[derive(Debug, Deserialize, JsonSchema)]
struct RequestPath {
    /// Id of the request.
    request: String,
}

/// Version that a removal is based on.
#[derive(Debug, Deserialize, JsonSchema)]
struct DeleteQuery {
    /// Version of the resource that the operator saw last.
    based_on: LogOffset,
}

/// Version of a resource.
#[derive(Debug, Serialize, JsonSchema)]
struct VersionHeader {
    /// The version as an entity tag.
    etag: String,
}

/// Returns the description of all endpoints of the operators' listener.
pub(super) fn description() -> Result<ApiDescription<Shared>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(list_resources)?;
    api.register(list_kind)?;
    api.register(get_resource)?;
    api.register(apply_resource)?;
    api.register(delete_resource)?;
    api.register(show_force)?;
    api.register(explain_request)?;
    api.register(show_status)?;
    api.register(show_metrics)?;
    Ok(api)
}

fn authenticate(
    context: &RequestContext<Shared>,
    headers: Header<OperatorHeaders>,
) -> Result<OperatorId, RefusalBody> {
    let headers = headers.into_inner();
    identify(
        headers.authorization.as_deref(),
        &context.context().operator_of,
    )
}

/// List all declared resources.
#[endpoint { method = GET, path = "/v1/resources" }]
async fn list_resources(
    context: RequestContext<Shared>,
    headers: Header<OperatorHeaders>,
) -> Result<EndpointResponse<HttpResponseOk<Vec<ResourceView>>>, RefusalBody> {
    let result = match authenticate(&context, headers) {
        Ok(_) => (context.context().list)(()).await,
        Err(refusal) => Err(refusal),
    };
    Ok(EndpointResponse::from_result(result.map(HttpResponseOk)))
}

/// List the declared resources of one kind.
#[endpoint { method = GET, path = "/v1/resources/{kind}" }]
async fn list_kind(
    context: RequestContext<Shared>,
    path: Path<KindPath>,
    headers: Header<OperatorHeaders>,
) -> Result<EndpointResponse<HttpResponseOk<Vec<ResourceView>>>, RefusalBody> {
    let kind = path.into_inner().kind;
    let result = match authenticate(&context, headers) {
        Ok(_) => (context.context().list)(()).await,
        Err(refusal) => Err(refusal),
    };
    let result = result.map(|views| {
        let of_kind = views.into_iter().filter(|view| view.key.kind == kind);
        HttpResponseOk(of_kind.collect())
    });
    Ok(EndpointResponse::from_result(result))
}

/// Get one declared resource.
#[endpoint { method = GET, path = "/v1/resources/{kind}/{name}" }]
async fn get_resource(
    context: RequestContext<Shared>,
    path: Path<ResourcePath>,
    headers: Header<OperatorHeaders>,
) -> Result<
    EndpointResponse<HttpResponseHeaders<HttpResponseOk<ResourceView>, VersionHeader>>,
    RefusalBody,
> {
    let result = find_resource(&context, path, headers).await;
    Ok(EndpointResponse::from_result(result.map(|view| {
        let etag = format!("\"{}\"", view.version);
        HttpResponseHeaders::new(HttpResponseOk(view), VersionHeader { etag })
    })))
}

async fn find_resource(
    context: &RequestContext<Shared>,
    path: Path<ResourcePath>,
    headers: Header<OperatorHeaders>,
) -> Result<ResourceView, RefusalBody> {
    authenticate(context, headers)?;
    let key = resource_key(path.into_inner())?;
    (context.context().get)(key).await
}

/// Create or change a resource.
#[endpoint { method = PUT, path = "/v1/resources/{kind}/{name}" }]
async fn apply_resource(
    context: RequestContext<Shared>,
    path: Path<ResourcePath>,
    headers: Header<OperatorHeaders>,
    body: DeferredBody<ApplyBody>,
) -> Result<EndpointResponse<HttpResponseOk<AcceptedBody>>, ChangeErrorBody> {
    let result = apply(&context, path, headers, body).await;
    Ok(EndpointResponse::from_result(result.map(HttpResponseOk)))
}

async fn apply(
    context: &RequestContext<Shared>,
    path: Path<ResourcePath>,
    headers: Header<OperatorHeaders>,
    body: DeferredBody<ApplyBody>,
) -> Result<AcceptedBody, ChangeErrorBody> {
    let operator = authenticate(context, headers)?;
    let key = resource_key(path.into_inner())?;
    let body = body.into_inner()?;
    if body.spec.kind() != key.kind {
        return Err(malformed("the kind in the path is not that of the spec").into());
    }
    body.spec
        .check()
        .map_err(|error| malformed(&error.to_string()))?;
    let call = ApplyCall {
        operator,
        key,
        body,
    };
    Ok((context.context().apply)(call).await?)
}

/// Remove a resource.
#[endpoint { method = DELETE, path = "/v1/resources/{kind}/{name}" }]
async fn delete_resource(
    context: RequestContext<Shared>,
    path: Path<ResourcePath>,
    query: Query<DeleteQuery>,
    headers: Header<OperatorHeaders>,
) -> Result<EndpointResponse<HttpResponseOk<AcceptedBody>>, ChangeErrorBody> {
    let result = delete(&context, path, query, headers).await;
    Ok(EndpointResponse::from_result(result.map(HttpResponseOk)))
}

async fn delete(
    context: &RequestContext<Shared>,
    path: Path<ResourcePath>,
    query: Query<DeleteQuery>,
    headers: Header<OperatorHeaders>,
) -> Result<AcceptedBody, ChangeErrorBody> {
    let call = DeleteCall {
        operator: authenticate(context, headers)?,
        key: resource_key(path.into_inner())?,
        based_on: query.into_inner().based_on,
    };
    Ok((context.context().delete)(call).await?)
}

fn resource_key(path: ResourcePath) -> Result<ResourceKey, RefusalBody> {
    match is_label(&path.name) {
        true => Ok(ResourceKey::new(path.kind, path.name)),
        false => Err(malformed("a name has 1 to 128 visible ASCII characters")),
    }
}

/// Show which hosts have applied the configuration.
#[endpoint { method = GET, path = "/v1/force" }]
async fn show_force(
    context: RequestContext<Shared>,
    headers: Header<OperatorHeaders>,
) -> Result<EndpointResponse<HttpResponseOk<ForceView>>, RefusalBody> {
    let result = match authenticate(&context, headers) {
        Ok(_) => (context.context().force)(()).await,
        Err(refusal) => Err(refusal),
    };
    Ok(EndpointResponse::from_result(result.map(HttpResponseOk)))
}

/// Show the decisions about a request and their reasons.
#[endpoint { method = GET, path = "/v1/explain/{request}" }]
async fn explain_request(
    context: RequestContext<Shared>,
    path: Path<RequestPath>,
    headers: Header<OperatorHeaders>,
) -> Result<EndpointResponse<HttpResponseOk<ExplainView>>, RefusalBody> {
    let result = match authenticate(&context, headers) {
        Ok(_) => (context.context().explain)(path.into_inner().request.into()).await,
        Err(refusal) => Err(refusal),
    };
    Ok(EndpointResponse::from_result(result.map(HttpResponseOk)))
}

/// Show this host's state and its view of the targets.
#[endpoint { method = GET, path = "/v1/status" }]
async fn show_status(
    context: RequestContext<Shared>,
    headers: Header<OperatorHeaders>,
) -> Result<EndpointResponse<HttpResponseOk<StatusView>>, RefusalBody> {
    let result = match authenticate(&context, headers) {
        Ok(_) => (context.context().status)(()).await,
        Err(refusal) => Err(refusal),
    };
    Ok(EndpointResponse::from_result(result.map(HttpResponseOk)))
}

/// Get the metrics in the OpenMetrics text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn show_metrics(
    context: RequestContext<Shared>,
    headers: Header<OperatorHeaders>,
) -> Result<EndpointResponse<Response<Body>>, RefusalBody> {
    let result = authenticate(&context, headers).map(|_| {
        let mut response = Response::new(Body::from((context.context().metrics)()));
        let media_type = HeaderValue::from_static(METRICS_MEDIA_TYPE);
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, media_type);
        response
    });
    Ok(EndpointResponse::from_result(result))
}
