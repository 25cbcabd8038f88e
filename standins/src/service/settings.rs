//! Settings, faults and records of a service.

use std::time::Duration;

use jackdawwick::ids::{IdempotencyKey, RequestId};
use jackdawwick::target::wire::TargetRefusalKind;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// How a service behaves when nothing fails.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Name of the target.
    pub name: String,
    /// Time that one call takes.
    pub call_time: Duration,
    /// Calls that run at the same time.
    pub concurrency: usize,
    /// Calls that may wait; one more is refused.
    pub max_waiting: usize,
    /// Time between two refreshes of the load report.
    pub load_lag: Duration,
    /// Most entries kept in the record; zero records nothing.
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

/// When, with regard to its effect, a call kills the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeathPoint {
    /// Nothing has happened yet.
    Before,
    /// The effect is there, the work is not done.
    During,
    /// The work is done, the answer is not sent.
    After,
}

/// Faults of a service. Counters count down as the fault strikes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Connections are refused; only the handle can undo this.
    pub dead: bool,
    /// The next call kills the service at this point.
    pub die_at: Option<DeathPoint>,
    /// Calls are accepted, but nothing goes on until this ends.
    pub frozen: bool,
    /// Calls are refused as by a leaving target.
    pub leaving: bool,
    /// The next calls run, then the connection is closed.
    pub lose_answers: u32,
    /// The next calls have no effect, and the connection is closed.
    pub lose_calls: u32,
    /// The next calls are refused as overload, without effect.
    pub refuse_calls: u32,
    /// Kind of refusal sent for `refuse_calls`.
    pub refusal: TargetRefusalKind,
    /// Multiplies the time of each call.
    pub slow_factor: f64,
    /// Delay of each answer, in milliseconds.
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
    /// Grows over all stand-ins of one process.
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

/// What a service answers to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// Number of calls that this service has run, with this one.
    pub ran: u64,
    /// Operation called.
    pub operation: String,
}
