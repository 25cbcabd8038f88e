//! Errors of the command line; each message says how to proceed.

use std::io;
use std::net::SocketAddr;

use super::rollout::RolloutProgress;
use super::view;
use crate::api::wire::{ConflictBody, RefusalBody};
use crate::reason::RefusalReason;
use crate::resources::ResourceKey;
use crate::verdict::RunVerdict;

const FAILED_STATUS: u8 = 1;
const USAGE_STATUS: u8 = 2;
const LOST_RACE_STATUS: u8 = 3;
const NOT_IN_FORCE_STATUS: u8 = 4;

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// The resource file has mistakes.
    #[error("{file}: {} mistake(s), nothing was sent:\n  {}", mistakes.len(), mistakes.join("\n  "))]
    InvalidFile {
        /// Path of the file.
        file: String,
        /// All mistakes, each with its key.
        mistakes: Vec<String>,
    },
    /// No connection could be opened, so nothing was sent.
    #[error(
        "cannot reach {server}: {cause}\nCheck that the daemon runs and that --server names its \
         operators' listener, or name another entry host."
    )]
    Unreachable {
        /// Address of the server.
        server: SocketAddr,
        /// Cause of the failure.
        cause: String,
    },
    /// The connection broke or timed out before a response arrived.
    #[error(
        "no response from {server}: {cause}\nA change that was sent may have taken effect. Run the \
         same command again: resources that are up to date are not sent again."
    )]
    NoResponse {
        /// Address of the server.
        server: SocketAddr,
        /// Cause of the failure.
        cause: String,
    },
    /// The daemon refused the call.
    #[error("refused ({}): {}{}", .0.reason.name(), .0.message, next_step(.0))]
    Refused(Box<RefusalBody>),
    /// The change is based on an outdated version.
    #[error("{key}: lost the race: {}", conflict_message(key, conflict))]
    LostRace {
        /// Resource of the change.
        key: ResourceKey,
        /// Change that was accepted instead.
        conflict: Box<ConflictBody>,
    },
    /// The response is not one that the daemon sends.
    #[error(
        "invalid response from {server} ({cause})\nCheck that --server names an operators' listener \
         and that both programs have the same version."
    )]
    InvalidResponse {
        /// Address of the server.
        server: SocketAddr,
        /// HTTP status and cause.
        cause: String,
    },
    /// The journal of the host has no entry about the request.
    #[error(
        "no decisions about {request} are recorded on this host\nAsk the entry host that took the \
         request; old decisions are dropped first."
    )]
    NothingRecorded {
        /// Id of the request.
        request: String,
    },
    /// The timeout of `watch` expired.
    #[error(
        "not in force everywhere in time: {}\nContinue with `jackdawwick watch --version {}`, and \
         check the hosts listed.",
        view::describe_progress(.0),
        .0.version()
    )]
    NotInForce(RolloutProgress),
    /// The result could not be written.
    #[error("cannot write the result: {0}")]
    Output(#[from] io::Error),
}

impl CliError {
    /// Returns the exit status of the process.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::InvalidFile { .. } => USAGE_STATUS,
            Self::LostRace { .. } => LOST_RACE_STATUS,
            Self::NotInForce(_) => NOT_IN_FORCE_STATUS,
            _ => FAILED_STATUS,
        }
    }
}

fn conflict_message(key: &ResourceKey, conflict: &ConflictBody) -> String {
    let next = format!(
        "Look at it with `jackdawwick get {} {}`, then run your command again if the change is still wanted.",
        key.kind.name(),
        key.name
    );
    let operator = conflict.operator.as_deref().unwrap_or("another operator");
    match conflict.winner {
        Some(winner) => format!("{operator} won with version {winner}. {next}"),
        None => format!("{operator} won: the resource does not exist now. {next}"),
    }
}

fn next_step(refusal: &RefusalBody) -> String {
    let again = match refusal.retry_after_ms {
        Some(wait) => format!("again in {wait} ms"),
        None => "again later".to_owned(),
    };
    match (refusal.verdict, refusal.reason) {
        (RunVerdict::MayHaveRun, _) => "\nThe change may have taken effect. Run the same command \
             again: resources that are up to date are not sent again."
            .to_owned(),
        (_, RefusalReason::Unauthenticated) => "\nCheck the token against the credentials in \
             the daemon's settings, section [operators]."
            .to_owned(),
        (_, RefusalReason::Unknown) => "\nList what exists with `jackdawwick get`.".to_owned(),
        (_, RefusalReason::Malformed) => "\nCorrect it and run the command again.".to_owned(),
        _ => {
            format!("\nNothing was changed. Try {again}, or name another entry host with --server.")
        }
    }
}
