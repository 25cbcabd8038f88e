//! Arguments and environment of the operators' command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, crate_version, value_parser};

use super::CliError;
use super::resource_file::kind_by_name;
use crate::ids::{LogOffset, RequestId};
use crate::resources::{ResourceKey, ResourceKind};

/// Environment variable with the server's address.
const SERVER_VARIABLE: &str = "JACKDAWWICK_SERVER";
/// Environment variable with the bearer token itself.
const TOKEN_VARIABLE: &str = "JACKDAWWICK_TOKEN";
/// How long `watch` goes on unless told otherwise.
const DEFAULT_WATCH_TIMEOUT: &str = "60s";

/// What the command line takes from its environment.
#[derive(Clone, Default)]
pub struct CliEnvironment {
    /// Address of an operators' listener.
    pub server: Option<String>,
    /// Bearer token.
    pub token: Option<String>,
}

impl CliEnvironment {
    /// Reads the process's environment.
    pub fn from_process() -> Self {
        Self {
            server: std::env::var(SERVER_VARIABLE).ok(),
            token: std::env::var(TOKEN_VARIABLE).ok(),
        }
    }
}

/// How results are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OutputFormat {
    /// Aligned columns for a person.
    #[default]
    Table,
    /// JSON for a program.
    Json,
}

/// One command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CliAction {
    /// Declare the resources of a file.
    Apply {
        /// The TOML file.
        file: PathBuf,
        /// Only show the difference.
        dry_run: bool,
    },
    /// Show declared resources.
    Get {
        /// Only this kind.
        kind: Option<ResourceKind>,
        /// Only this name.
        name: Option<String>,
    },
    /// Remove a resource.
    Delete {
        /// Kind and name.
        key: ResourceKey,
    },
    /// Show until a version is in force everywhere.
    Watch {
        /// Offset of the change; `None` for the newest that any host has applied.
        version: Option<LogOffset>,
        /// How long to go on.
        timeout: Duration,
    },
    /// Show what was decided about a request.
    Explain {
        /// The request.
        request: RequestId,
    },
    /// Show how a host sees itself and the targets.
    Status,
}

/// The whole command line, resolved against the environment.
pub struct CliArguments {
    /// An operators' listener.
    pub server: SocketAddr,
    /// Bearer token.
    pub token: String,
    /// How results are written.
    pub output: OutputFormat,
    /// What to do.
    pub action: CliAction,
}

/// The command line of `jackdawwick`.
pub fn operator_command() -> Command {
    Command::new("jackdawwick")
        .version(crate_version!())
        .about("Declares resources and shows what is true")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_arguments())
        .subcommands([
            apply_command(),
            get_command(),
            delete_command(),
            watch_command(),
            explain_command(),
            Command::new("status").about("Show how the host sees itself and the targets"),
        ])
}

fn global_arguments() -> [Arg; 3] {
    let server = Arg::new("server")
        .long("server")
        .value_name("IP:PORT")
        .global(true)
        .help(format!(
            "Operators' listener of any entry host [env: {SERVER_VARIABLE}]"
        ));
    let token_file = Arg::new("token-file")
        .long("token-file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .global(true)
        .help(format!(
            "File with the bearer token [env with the token itself: {TOKEN_VARIABLE}]"
        ));
    let output = Arg::new("output")
        .long("output")
        .short('o')
        .value_parser(["table", "json"])
        .default_value("table")
        .global(true)
        .help("How results are written");
    [server, token_file, output]
}

fn apply_command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("TOML file with tables such as [model.NAME] and [target.NAME]");
    let dry_run = Arg::new("dry-run")
        .long("dry-run")
        .action(ArgAction::SetTrue)
        .help("Show the difference and change nothing");
    Command::new("apply")
        .about("Declare the resources of a file; those not in it stay as they are")
        .args([file, dry_run])
}

fn get_command() -> Command {
    let name = Arg::new("name").value_name("NAME").help("Only this one");
    Command::new("get")
        .about("Show declared resources")
        .args([kind_argument().help("Only this kind"), name])
}

fn delete_command() -> Command {
    let name = Arg::new("name").value_name("NAME").required(true);
    Command::new("delete")
        .about("Remove a resource")
        .args([kind_argument().required(true), name])
}

fn watch_command() -> Command {
    let version = Arg::new("version")
        .long("version")
        .value_name("OFFSET")
        .value_parser(value_parser!(u64))
        .help("Version to wait for; without it the newest that any host has applied");
    let timeout = Arg::new("timeout")
        .long("timeout")
        .value_name("DURATION")
        .value_parser(humantime::parse_duration)
        .default_value(DEFAULT_WATCH_TIMEOUT)
        .help("How long to go on, such as 30s");
    Command::new("watch")
        .about("Show how far a change is in force, until it is so everywhere")
        .args([version, timeout])
}

fn explain_command() -> Command {
    let request = Arg::new("request").value_name("REQUEST").required(true);
    Command::new("explain")
        .about("Show what was decided about a request, and why")
        .arg(request.help("Id of the request, as in x-request-id"))
}

fn kind_argument() -> Arg {
    let names = ResourceKind::ALL.map(ResourceKind::name);
    Arg::new("kind")
        .value_name("KIND")
        .value_parser(PossibleValuesParser::new(names))
}

impl CliArguments {
    /// Resolves parsed arguments against the environment.
    ///
    /// # Errors
    /// If the server or the token is missing or not usable.
    pub fn from_matches(
        matches: &ArgMatches,
        environment: CliEnvironment,
    ) -> Result<Self, CliError> {
        let output = match text(matches, "output").as_deref() {
            Some("json") => OutputFormat::Json,
            _ => OutputFormat::Table,
        };
        Ok(Self {
            server: find_server(matches, environment.server)?,
            token: find_token(matches, environment.token)?,
            output,
            action: find_action(matches)?,
        })
    }
}

fn find_server(matches: &ArgMatches, variable: Option<String>) -> Result<SocketAddr, CliError> {
    let given = text(matches, "server").or(variable);
    let Some(given) = given else {
        return Err(CliError::Usage(format!(
            "no server: give --server IP:PORT or set {SERVER_VARIABLE}"
        )));
    };
    given.parse().map_err(|_| {
        CliError::Usage(format!(
            "server {given:?} is not an IP address and port, such as 127.0.0.1:8081"
        ))
    })
}

fn find_token(matches: &ArgMatches, variable: Option<String>) -> Result<String, CliError> {
    let token = match (matches.get_one::<PathBuf>("token-file"), variable) {
        (Some(path), _) => std::fs::read_to_string(path)
            .map_err(|error| CliError::Usage(format!("token file {}: {error}", path.display())))?,
        (None, Some(token)) => token,
        (None, None) => String::new(),
    };
    match token.trim() {
        "" => Err(CliError::Usage(format!(
            "no token: give --token-file FILE or set {TOKEN_VARIABLE}"
        ))),
        token => Ok(token.to_owned()),
    }
}

fn find_action(matches: &ArgMatches) -> Result<CliAction, CliError> {
    let Some((name, matches)) = matches.subcommand() else {
        return Err(CliError::Usage("no command: see --help".to_owned()));
    };
    let kind = || text(matches, "kind").and_then(|kind| kind_by_name(&kind));
    match name {
        "apply" => Ok(CliAction::Apply {
            file: required(matches, "file")?,
            dry_run: matches.get_flag("dry-run"),
        }),
        "get" => Ok(CliAction::Get {
            kind: kind(),
            name: text(matches, "name"),
        }),
        "delete" => match kind() {
            Some(kind) => Ok(CliAction::Delete {
                key: ResourceKey::new(kind, required::<String>(matches, "name")?),
            }),
            None => Err(CliError::Usage("no kind: see --help".to_owned())),
        },
        "watch" => Ok(CliAction::Watch {
            version: matches.get_one("version").copied(),
            timeout: required(matches, "timeout")?,
        }),
        "explain" => Ok(CliAction::Explain {
            request: required::<String>(matches, "request")?.into(),
        }),
        _ => Ok(CliAction::Status),
    }
}

/// An argument's text; `None` if the command does not have the argument.
fn text(matches: &ArgMatches, name: &str) -> Option<String> {
    matches.try_get_one::<String>(name).ok().flatten().cloned()
}

fn required<T>(matches: &ArgMatches, name: &str) -> Result<T, CliError>
where
    T: Clone + Send + Sync + 'static,
{
    matches
        .get_one::<T>(name)
        .cloned()
        .ok_or_else(|| CliError::Usage(format!("no {name}: see --help")))
}
