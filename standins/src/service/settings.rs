//! Settings, faults and records of a service.

use std::time::Duration;

use jackdawwick::ids::{IdempotencyKey, RequestId};
use jackdawwick::target::wire::TargetRefusalKind;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Behaviour of a service without faults.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Name of the target.
    pub name: String,
    /// Duration of one call.
    pub call_time: Duration,
    /// Calls that run at the same time.
    pub concurrency: usize,
    /// Calls that may wait; a further one is refused.
    pub max_waiting: usize,
    /// Time between two refreshes of the load report.
    pub load_lag: Duration,
    /// Maximum number of entries in the record; with zero nothing is recorded.
    pub record_cap: usize,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            name: "service".to_owned(),
            call_time: Duration::ZERO,
            concurrency: 64,
            max_waiting: 1_024,
            load_lag: Duration::from_millis(100),
            record_cap: 1_000_000,
        }
    }
}

/// Point of a call, relative to its effect, at which the service crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeathPoint {
    /// Before the effect.
    Before,
    /// After the effect, before the work is done.
    During,
    /// After the work is done, before the response is sent.
    After,
}

/// Faults of a service. Counters are decremented each time the fault occurs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Connections are refused; only the handle can undo this.
    pub dead: bool,
    /// The next call crashes the service at this point.
    pub die_at: Option<DeathPoint>,
    /// Calls are accepted, but make no progress until this is reset.
    pub frozen: bool,
    /// Calls are refused as by a target that is leaving.
    pub leaving: bool,
    /// The next calls run, then the connection is closed without a response.
    pub lose_answers: u32,
    /// The next calls have no effect, and the connection is closed.
    pub lose_calls: u32,
    /// The next calls are refused as overload, without effect.
    pub refuse_calls: u32,
    /// Kind of the refusal for `refuse_calls`.
    pub refusal: TargetRefusalKind,
    /// Factor on the duration of each call.
    pub slow_factor: f64,
    /// Delay of each response, in milliseconds.
    pub link_delay_ms: u64,
}

impl Default for ServiceFaults {
    fn default() -> Self {
        Self {
            dead: false,
            die_at: None,
            frozen: false,
            leaving: false,
            lose_answers: 0,
            lose_calls: 0,
            refuse_calls: 0,
            refusal: TargetRefusalKind::Overloaded,
            slow_factor: 1.0,
            link_delay_ms: 0,
        }
    }
}

/// One call that took effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Sequence number over all stand-ins of one process.
    pub order: u64,
    /// Request id header, if sent.
    pub request: Option<RequestId>,
    /// Idempotency key header, if sent.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Operation called.
    pub operation: String,
    /// Body of the call.
    pub body: Value,
    /// Microseconds since the Unix epoch.
    pub at_micros: u64,
}

/// Response of a service to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// Number of calls that this service has run, including this one.
    pub ran: u64,
    /// Operation called.
    pub operation: String,
}
