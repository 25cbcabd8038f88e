//! Calls to engines.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;

use super::{
    MAX_EXPORT_BYTES, MAX_RESPONSE_BYTES, PathSegment, TargetClient, check_status, encode, parse,
    request,
};
use crate::run::StepFailure;
use crate::target::TargetFailure;
use crate::target::wire::{
    CacheEvents, CacheExport, LoadReport, StateOrder, StepRequest, StepResponse, TargetState,
};

impl TargetClient {
    /// Runs a step.
    ///
    /// # Errors
    /// Fails with a verdict on whether the step may have run.
    pub async fn step(
        &self,
        address: SocketAddr,
        step: &StepRequest,
    ) -> Result<StepResponse, StepFailure> {
        let response = self.try_step(address, step).await;
        response.map_err(StepFailure::from)
    }

    async fn try_step(
        &self,
        address: SocketAddr,
        step: &StepRequest,
    ) -> Result<StepResponse, TargetFailure> {
        let further = step.inputs.len().saturating_sub(1);
        let further = u32::try_from(further).unwrap_or(u32::MAX);
        let timeout = self.timeouts.response + self.timeouts.per_position.saturating_mul(further);
        let request = request(Method::POST, address, "/v1/steps", encode(step)?)?;
        let response = self
            .transport
            .send(request, true, timeout, MAX_RESPONSE_BYTES);
        parse(&check_status(response.await?)?)
    }

    /// Cancels a session; an unknown session is no error.
    ///
    /// # Errors
    /// Fails if the engine cannot be reached or does not respond.
    pub async fn cancel(&self, address: SocketAddr, session: &str) -> Result<(), TargetFailure> {
        let path = format!("/v1/sessions/{}", PathSegment(session));
        let request = request(Method::DELETE, address, &path, Bytes::new())?;
        self.send(request, MAX_RESPONSE_BYTES).await.map(drop)
    }

    /// Reads a session's KV cache.
    ///
    /// # Errors
    /// Fails if the engine does not know the session or does not respond.
    pub async fn export_cache(
        &self,
        address: SocketAddr,
        session: &str,
    ) -> Result<CacheExport, TargetFailure> {
        let path = format!("/v1/sessions/{}/cache", PathSegment(session));
        let request = request(Method::GET, address, &path, Bytes::new())?;
        parse(&self.send(request, MAX_EXPORT_BYTES).await?)
    }

    /// Imports a KV cache into a session.
    ///
    /// # Errors
    /// Fails if the engine refuses or does not respond; without a response it may hold
    /// the cache.
    pub async fn import_cache(
        &self,
        address: SocketAddr,
        session: &str,
        export: &CacheExport,
    ) -> Result<(), TargetFailure> {
        let path = format!("/v1/sessions/{}/cache", PathSegment(session));
        let request = request(Method::PUT, address, &path, encode(export)?)?;
        self.send(request, MAX_RESPONSE_BYTES).await.map(drop)
    }

    /// Reads the load that the target reports, which lags behind.
    ///
    /// # Errors
    /// Fails if the target does not respond.
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport, TargetFailure> {
        self.get(address, "/v1/load").await
    }

    /// Reads the state of the target.
    ///
    /// # Errors
    /// Fails if the target does not respond.
    pub async fn state(&self, address: SocketAddr) -> Result<TargetState, TargetFailure> {
        self.get(address, "/v1/state").await
    }

    /// Orders the target to reach a state.
    ///
    /// # Errors
    /// Fails if the target refuses, for example because of an old fencing number, or does
    /// not respond; without a response it may have accepted the order.
    pub async fn order_state(
        &self,
        address: SocketAddr,
        order: &StateOrder,
    ) -> Result<TargetState, TargetFailure> {
        let request = request(Method::PUT, address, "/v1/state", encode(order)?)?;
        parse(&self.send(request, MAX_RESPONSE_BYTES).await?)
    }

    /// Reads the changes of the prefix cache from number `from` on.
    ///
    /// # Errors
    /// Fails if the engine does not respond.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        from: u64,
    ) -> Result<CacheEvents, TargetFailure> {
        let path = format!("/v1/cache-events?from={from}");
        self.get(address, &path).await
    }
}
