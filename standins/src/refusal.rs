//! Responses with which a target refuses a call.

use http::StatusCode;
use jackdawwick::target::wire::{TargetRefusal, TargetRefusalKind};

use crate::http_server::CallOutcome;

/// Creates a refusal without a position.
pub(crate) fn refused(kind: TargetRefusalKind) -> TargetRefusal {
    TargetRefusal {
        refused: kind,
        next_position: None,
    }
}

/// Converts a refusal to a response with the status of its kind.
#[expect(clippy::needless_pass_by_value, reason = "made for `map_err`")]
pub(crate) fn refusal_outcome(refusal: TargetRefusal) -> CallOutcome {
    CallOutcome::json(status_of(refusal.refused), &refusal)
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
