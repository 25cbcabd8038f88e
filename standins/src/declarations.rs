//! Declared resources of a small fleet.

use std::net::SocketAddr;

use jackdawwick::auth::TokenDigest;
use jackdawwick::ids::{LayerIndex, TargetId, ZoneId};
use jackdawwick::resources::{
    CapacitySpec, FencingSupport, ModelSpec, OrganisationSpec, PipelineSpec, ResourceSpec,
    ServiceSpec, StageSpec, TargetKind, TargetPhase, TargetSpec, VersionSpec,
};

use crate::caller::token_of;
use crate::operator::Declaration;

/// Version in which the models of the stand-ins are offered.
pub const VERSION: &str = "v1";

/// An engine of a stage.
#[derive(Debug, Clone)]
pub struct StageTarget {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address.
    pub address: SocketAddr,
    /// Tokens per second when saturated.
    pub tokens_per_second: f64,
    /// Steps that run at the same time.
    pub concurrency: u32,
}

/// A stage with its engines.
#[derive(Debug, Clone)]
pub struct StageLayout {
    /// First layer.
    pub first_layer: LayerIndex,
    /// Last layer.
    pub last_layer: LayerIndex,
    /// Engines that hold the stage.
    pub targets: Vec<StageTarget>,
}

/// Creates the declaration of a target.
pub fn target(target: &StageTarget, kind: TargetKind) -> Declaration {
    let spec = TargetSpec {
        kind,
        zone: target.zone.clone(),
        address: target.address,
        accelerator: String::new(),
        tokens_per_second: target.tokens_per_second,
        concurrency: target.concurrency,
        fencing: FencingSupport::Checks,
        phase: TargetPhase::Serving,
    };
    Declaration::new(&target.name, ResourceSpec::Target(spec))
}

/// Creates the declarations of a model with one pipeline over `stages`, and of the
/// engines.
pub fn pipeline(model: &str, stages: &[StageLayout]) -> Vec<Declaration> {
    let engines = stages.iter().flat_map(|stage| &stage.targets);
    let mut declarations: Vec<Declaration> = engines
        .map(|engine| target(engine, TargetKind::Engine))
        .collect();
    let layers = stages.last().map_or(0, |stage| stage.last_layer + 1);
    let model_spec = ModelSpec {
        offered: VERSION.into(),
        versions: vec![VersionSpec {
            name: VERSION.into(),
            layers,
            adapters: Vec::new(),
        }],
    };
    let pipeline_spec = PipelineSpec {
        model: model.into(),
        version: VERSION.into(),
        stages: stages.iter().map(stage_spec).collect(),
    };
    declarations.push(Declaration::new(model, ResourceSpec::Model(model_spec)));
    declarations.push(Declaration::new(
        model,
        ResourceSpec::Pipeline(pipeline_spec),
    ));
    declarations
}

fn stage_spec(stage: &StageLayout) -> StageSpec {
    StageSpec {
        first_layer: stage.first_layer,
        last_layer: stage.last_layer,
        targets: stage
            .targets
            .iter()
            .map(|target| TargetId::from(&*target.name))
            .collect(),
    }
}

/// Creates the declarations of a plain service and of its targets.
pub fn service(name: &str, targets: &[StageTarget], non_idempotent: &[&str]) -> Vec<Declaration> {
    let mut declarations: Vec<Declaration> = targets
        .iter()
        .map(|service_target| target(service_target, TargetKind::Service))
        .collect();
    let spec = ServiceSpec {
        targets: targets
            .iter()
            .map(|service_target| service_target.name.as_str().into())
            .collect(),
        non_idempotent: non_idempotent.iter().map(ToString::to_string).collect(),
    };
    declarations.push(Declaration::new(name, ResourceSpec::Service(spec)));
    declarations
}

/// Creates the declaration of an organisation whose token is [`token_of`] its name.
pub fn organisation(name: &str, concurrent_requests: u32, requests_per_second: u32) -> Declaration {
    let spec = OrganisationSpec {
        token_digest: TokenDigest::of_token(&token_of(name)).to_hex(),
        capacity: CapacitySpec {
            concurrent_requests,
            requests_per_second,
        },
    };
    Declaration::new(name, ResourceSpec::Organisation(spec))
}
