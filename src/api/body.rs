//! JSON body whose errors are reported by the endpoint.

use async_trait::async_trait;
use dropshot::{
    ApiEndpointBodyContentType, Body, ExclusiveExtractor, ExtractorMetadata, HttpError,
    RequestContext, ServerContext, TypedBody,
};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;

use super::wire::RefusalBody;

/// A body that was read and either parsed or refused.
///
/// The library runs extractors before the endpoint. If an invalid body failed there, a
/// client without a token would get a detailed 400 instead of a 401, and the refusal
/// would lack the request id. The error is therefore kept until the endpoint reports it.
#[derive(Debug)]
pub(super) struct DeferredBody<T>(Result<T, RefusalBody>);

impl<T> DeferredBody<T> {
    /// Returns the body, or the refusal if it is invalid.
    pub(super) fn into_inner(self) -> Result<T, RefusalBody> {
        self.0
    }
}

#[async_trait]
impl<T> ExclusiveExtractor for DeferredBody<T>
where
    T: DeserializeOwned + JsonSchema + Send + Sync + 'static,
{
    async fn from_request<C>(
        context: &RequestContext<C>,
        request: http::Request<Body>,
    ) -> Result<Self, HttpError>
    where
        C: ServerContext,
    {
        let body = <TypedBody<T> as ExclusiveExtractor>::from_request(context, request).await;
        Ok(Self(body.map(TypedBody::into_inner).map_err(Into::into)))
    }

    fn metadata(content_type: ApiEndpointBodyContentType) -> ExtractorMetadata {
        <TypedBody<T> as ExclusiveExtractor>::metadata(content_type)
    }
}
