//! The declaration of a resource of any kind, and the checks that need no other resource.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{
    ModelSpec, OrganisationSpec, PipelineSpec, ResourceKind, ServiceSpec, StageSpec, TargetSpec,
};

/// The declaration of one resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ResourceSpec {
    /// A model.
    Model(ModelSpec),
    /// A pipeline.
    Pipeline(PipelineSpec),
    /// A plain service.
    Service(ServiceSpec),
    /// An organisation.
    Organisation(OrganisationSpec),
    /// A target.
    Target(TargetSpec),
}

/// Why a declaration is not valid by itself.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// A value is outside its allowed range.
    #[error("{field}: {found} is not allowed, {legal}")]
    BadValue {
        /// Path of the field.
        field: String,
        /// Value found.
        found: String,
        /// Description of the allowed range.
        legal: &'static str,
    },
}

/// Number of hex characters in a SHA-256 digest.
const DIGEST_HEX_LENGTH: usize = 64;

impl ResourceSpec {
    /// Returns the kind of this resource.
    pub fn kind(&self) -> ResourceKind {
        match self {
            Self::Model(_) => ResourceKind::Model,
            Self::Pipeline(_) => ResourceKind::Pipeline,
            Self::Service(_) => ResourceKind::Service,
            Self::Organisation(_) => ResourceKind::Organisation,
            Self::Target(_) => ResourceKind::Target,
        }
    }

    /// Checks the values that can be checked without other resources.
    ///
    /// # Errors
    /// Returns an error if a value is outside its allowed range; the error names the
    /// first such field.
    pub fn check(&self) -> Result<(), SpecError> {
        match self {
            Self::Model(model) => check_model(model),
            Self::Pipeline(pipeline) => check_stages(&pipeline.stages),
            Self::Service(service) => check_service(service),
            Self::Organisation(organisation) => check_organisation(organisation),
            Self::Target(target) => check_target(target),
        }
    }
}

fn invalid_value<V: ToString + ?Sized>(field: &str, found: &V, legal: &'static str) -> SpecError {
    SpecError::BadValue {
        field: field.to_owned(),
        found: found.to_string(),
        legal,
    }
}

fn check_model(model: &ModelSpec) -> Result<(), SpecError> {
    if model.version(&model.offered).is_none() {
        return Err(invalid_value(
            "offered",
            &model.offered,
            "one of the versions listed",
        ));
    }
    match model.versions.iter().find(|version| version.layers == 0) {
        Some(_) => Err(invalid_value("versions.layers", &0, "at least 1")),
        None => Ok(()),
    }
}

/// Checks that the layer ranges start at zero and are contiguous, without gap or overlap.
///
/// A gap would skip a layer and an overlap would run one twice. Both would be visible
/// only as wrong output, so they are rejected at declaration.
fn check_stages(stages: &[StageSpec]) -> Result<(), SpecError> {
    if stages.is_empty() {
        return Err(invalid_value("stages", "none", "at least one stage"));
    }
    let mut expected = 0;
    for stage in stages {
        if stage.first_layer != expected {
            return Err(invalid_value(
                "stages.first_layer",
                &stage.first_layer,
                "the layer after the stage before",
            ));
        }
        if stage.last_layer < stage.first_layer {
            return Err(invalid_value(
                "stages.last_layer",
                &stage.last_layer,
                "at least first_layer",
            ));
        }
        if stage.targets.is_empty() {
            return Err(invalid_value(
                "stages.targets",
                "none",
                "at least one target",
            ));
        }
        expected = stage.last_layer + 1;
    }
    Ok(())
}

fn check_service(service: &ServiceSpec) -> Result<(), SpecError> {
    match service.targets.is_empty() {
        true => Err(invalid_value("targets", "none", "at least one target")),
        false => Ok(()),
    }
}

fn check_organisation(organisation: &OrganisationSpec) -> Result<(), SpecError> {
    let digest = &organisation.token_digest;
    let is_hex = digest
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if digest.len() != DIGEST_HEX_LENGTH || !is_hex {
        return Err(invalid_value(
            "token_digest",
            "a value",
            "64 lower-case hex digits",
        ));
    }
    if organisation.capacity.concurrent_requests == 0 {
        return Err(invalid_value(
            "capacity.concurrent_requests",
            &0,
            "at least 1",
        ));
    }
    if organisation.capacity.requests_per_second == 0 {
        return Err(invalid_value(
            "capacity.requests_per_second",
            &0,
            "at least 1",
        ));
    }
    Ok(())
}

fn check_target(target: &TargetSpec) -> Result<(), SpecError> {
    if !target.tokens_per_second.is_finite() || target.tokens_per_second <= 0.0 {
        return Err(invalid_value(
            "tokens_per_second",
            &target.tokens_per_second,
            "above 0",
        ));
    }
    if target.concurrency == 0 {
        return Err(invalid_value("concurrency", &0, "at least 1"));
    }
    Ok(())
}
