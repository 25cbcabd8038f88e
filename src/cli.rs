//! The operators' command line: declares resources and shows the state of the system.

mod apply;
mod arguments;
mod client;
mod difference;
mod error;
mod presentation;
mod queries;
mod resource_file;
mod rollout;
mod session;
mod table;
mod view;
mod watch;

use std::ffi::OsString;
use std::io::Write;

pub use apply::{ApplyStep, StepChange, plan_apply};
pub use arguments::{CliAction, CliArguments, CliEnvironment, OutputFormat, operator_command};
pub use client::OperatorClient;
pub use difference::{FieldChange, compare_specs};
pub use error::CliError;
use presentation::Presenter;
pub use resource_file::{DeclaredResource, parse_resources};
pub use rollout::{HostLag, RolloutProgress, rollout_progress};
use session::OperatorSession;

/// Runs the command line, whose first argument is the program's name, and returns the
/// exit status: 0 for success, 1 for a failure, 2 for an invalid command line or resource
/// file, 3 for a lost race, 4 for a change that is not in effect everywhere in time.
pub async fn run<I, T, W, E>(
    arguments: I,
    environment: CliEnvironment,
    output: W,
    mut errors: E,
) -> u8
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
    W: Write,
    E: Write,
{
    let mut presenter = Presenter::new(output);
    let Err(error) = run_command(arguments, environment, &mut presenter).await else {
        return 0;
    };
    // If standard error is closed, the exit status still reports the failure.
    let _ = writeln!(errors, "{error}");
    error.exit_status()
}

async fn run_command<I, T, W>(
    arguments: I,
    environment: CliEnvironment,
    presenter: &mut Presenter<W>,
) -> Result<(), CliError>
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
    W: Write,
{
    let matches = match operator_command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) if error.use_stderr() => return Err(CliError::Usage(error.to_string())),
        Err(help) => return presenter.text(&help.to_string()),
    };
    let arguments = CliArguments::from_matches(&matches, environment)?;
    presenter.use_format(arguments.output);
    let client = OperatorClient::open(arguments.server, &arguments.token)?;
    let mut session = OperatorSession { client, presenter };
    match arguments.action {
        CliAction::Apply { file, dry_run } => session.apply(&file, dry_run).await,
        CliAction::Get { kind, name } => session.get(kind, name).await,
        CliAction::Delete { key } => session.delete(key).await,
        CliAction::Watch { version, timeout } => session.watch(version, timeout).await,
        CliAction::Explain { request } => session.explain(&request).await,
        CliAction::Status => session.status().await,
    }
}
