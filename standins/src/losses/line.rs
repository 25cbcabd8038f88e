//! One log line of an entry host, as far as it tells of a request's fate.

use std::time::SystemTime;

use serde_json::{Map, Value};

/// What a line says became of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// Answered in time.
    Served,
    /// Answered, and something came late.
    Late(String),
    /// Answered with a failure.
    Failed(String),
    /// Refused, for a reason.
    Refused(String),
    /// A stream that ended early, for a reason.
    Cut(String),
}

impl RequestOutcome {
    /// The name of the row that counts it.
    pub fn cause(&self) -> String {
        match self {
            Self::Served => "served".to_owned(),
            Self::Late(what) => format!("late: {what}"),
            Self::Failed(status) => format!("failed: {status}"),
            Self::Refused(reason) => format!("refused: {reason}"),
            Self::Cut(reason) => format!("cut: {reason}"),
        }
    }
}

/// A line that tells of a request's fate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecisionLine {
    /// When it was written.
    pub at: SystemTime,
    /// The request.
    pub request: String,
    /// What became of it.
    pub outcome: RequestOutcome,
}

/// Reads a line; `None` if it tells of nothing that counts here. What stands
/// before the first brace, such as a host's name, is passed over.
pub fn parse_line(line: &str) -> Option<DecisionLine> {
    let object = line.get(line.find('{')?..)?;
    let members = serde_json::from_str::<Map<String, Value>>(object).ok()?;
    let text = |key: &str| members.get(key).and_then(Value::as_str);
    let reason = || text("reason").unwrap_or("none").to_owned();
    let outcome = match text("message")? {
        "answered" => answered_outcome(text("status")?, text("late").unwrap_or("no")),
        "refused" => RequestOutcome::Refused(reason()),
        "stream cut" => RequestOutcome::Cut(reason()),
        _ => return None,
    };
    Some(DecisionLine {
        at: humantime::parse_rfc3339(text("time")?).ok()?,
        request: text("request")?.to_owned(),
        outcome,
    })
}

fn answered_outcome(status: &str, late: &str) -> RequestOutcome {
    match late {
        _ if !status.starts_with('2') => RequestOutcome::Failed(status.to_owned()),
        "no" => RequestOutcome::Served,
        what => RequestOutcome::Late(what.to_owned()),
    }
}
