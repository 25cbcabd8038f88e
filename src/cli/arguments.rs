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

/// Environment variable with the address of the server.
const SERVER_VARIABLE: &str = "JACKDAWWICK_SERVER";
/// Environment variable with the bearer token.
const TOKEN_VARIABLE: &str = "JACKDAWWICK_TOKEN";
/// Default duration of `watch`.
const DEFAULT_WATCH_TIMEOUT: &str = "60s";

/// Values that the command line takes from the environment.
#[derive(Clone, Default)]
pub struct CliEnvironment {
    /// Address of an operators' listener.
    pub server: Option<String>,
    /// Bearer token.
    pub token: Option<String>,
}

impl CliEnvironment {
    /// Reads the environment of the process.
    pub fn from_process() -> Self {
        Self {
            server: std::env::var(SERVER_VARIABLE).ok(),
            token: std::env::var(TOKEN_VARIABLE).ok(),
        }
    }
}

/// Output format of results.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OutputFormat {
    /// Aligned columns, for people.
    #[default]
    Table,
    /// JSON, for programs.
    Json,
}

/// Command to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CliAction {
    /// Declare the resources of a file.
    Apply {
        /// The TOML file.
        file: PathBuf,
        /// Whether to only show the differences.
        dry_run: bool,
    },
    /// Show declared resources.
    Get {
        /// Only resources of this kind.
        kind: Option<ResourceKind>,
        /// Only the resource of this name.
        name: Option<String>,
    },
    /// Remove a resource.
    Delete {
        /// Kind and name.
        key: ResourceKey,
    },
    /// Show progress until a version is in effect everywhere.
    Watch {
        /// Offset of the change; `None` for the newest one that any host has applied.
        version: Option<LogOffset>,
        /// Maximum time to watch.
        timeout: Duration,
    },
    /// Show the decisions about a request.
    Explain {
        /// Id of the request.
        request: RequestId,
    },
    /// Show the state of a host and its view of the targets.
    Status,
}

/// Complete command line, resolved against the environment.
pub struct CliArguments {
    /// Address of an operators' listener.
    pub server: SocketAddr,
    /// Bearer token.
    pub token: String,
    /// Output format of results.
    pub output: OutputFormat,
    /// Command to execute.
    pub action: CliAction,
}

/// Returns the command line definition of `jackdawwick`.
pub fn operator_command() -> Command {
    Command::new("jackdawwick")
        .version(crate_version!())
        .about("Declares resources and shows the state of the system")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_arguments())
        .subcommands([
            apply_command(),
            get_command(),
            delete_command(),
            watch_command(),
            explain_command(),
            Command::new("status").about("Show the state of the host and its view of the targets"),
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
        .help("Output format of results");
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
        .about("Declare the resources of a file; other resources stay unchanged")
        .args([file, dry_run])
}

fn get_command() -> Command {
    let name = Arg::new("name")
        .value_name("NAME")
        .help("Only the resource of this name");
    Command::new("get")
        .about("Show declared resources")
        .args([kind_argument().help("Only resources of this kind"), name])
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
        .help("Version to wait for; by default the newest that any host has applied");
    let timeout = Arg::new("timeout")
        .long("timeout")
        .value_name("DURATION")
        .value_parser(humantime::parse_duration)
        .default_value(DEFAULT_WATCH_TIMEOUT)
        .help("Maximum time to watch, such as 30s");
    Command::new("watch")
        .about("Show the progress of a change until it is in force on every host")
        .args([version, timeout])
}

fn explain_command() -> Command {
    let request = Arg::new("request").value_name("REQUEST").required(true);
    Command::new("explain")
        .about("Show the decisions about a request and their reasons")
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
    /// Returns an error if the server or the token is missing or invalid.
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
    let address = text(matches, "server").or(variable);
    let Some(address) = address else {
        return Err(CliError::Usage(format!(
            "no server: give --server IP:PORT or set {SERVER_VARIABLE}"
        )));
    };
    address.parse().map_err(|_| {
        CliError::Usage(format!(
            "server {address:?} is not an IP address and port, such as 127.0.0.1:8081"
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

/// Returns the text of an argument; `None` if it is absent or the command does not define
/// it.
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
