//! Log lines of an entry host that state the outcome of a request.

use std::time::SystemTime;

use serde_json::{Map, Value};

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// A successful response, in time.
    Served,
    /// A successful response of which a part was late.
    Late(String),
    /// A response with an error status.
    Failed(String),
    /// A refusal, with its reason.
    Refused(String),
    /// A stream that was cut, with the reason.
    Cut(String),
}

impl RequestOutcome {
    /// Returns the name of the table row that counts the outcome.
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

/// A log line that states the outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecisionLine {
    /// Time at which the line was written.
    pub at: SystemTime,
    /// The request.
    pub request: String,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
}

/// Parses a line; returns `None` if it states no outcome. Text before the first brace,
/// such as the name of a host, is skipped.
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
