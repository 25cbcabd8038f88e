//! The answer by which a target refuses.

use http::StatusCode;
use jackdawwick::ids::TokenPosition;
use jackdawwick::target::wire::{TargetRefusal, TargetRefusalKind};

use crate::http_server::CallOutcome;

/// A refusal with the status that belongs to its kind.
pub(crate) fn refusal_outcome(
    refused: TargetRefusalKind,
    next_position: Option<TokenPosition>,
) -> CallOutcome {
    let refusal = TargetRefusal {
        refused,
        next_position,
    };
    CallOutcome::json(status_of(refused), &refusal)
}

fn status_of(kind: TargetRefusalKind) -> StatusCode {
    match kind {
        TargetRefusalKind::UnknownPosition => StatusCode::CONFLICT,
        TargetRefusalKind::NotLoaded => StatusCode::NOT_FOUND,
        TargetRefusalKind::Leaving | TargetRefusalKind::Overloaded => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        TargetRefusalKind::OldFencing => StatusCode::PRECONDITION_FAILED,
        TargetRefusalKind::Malformed => StatusCode::BAD_REQUEST,
    }
}
