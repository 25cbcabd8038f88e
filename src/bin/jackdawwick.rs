//! The operators' command line.

use std::process::ExitCode;

use jackdawwick::cli::{self, CliEnvironment};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = std::env::args_os();
    let environment = CliEnvironment::from_process();
    let status = cli::run(arguments, environment, std::io::stdout(), std::io::stderr()).await;
    ExitCode::from(status)
}
