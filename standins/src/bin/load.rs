//! Runs open-loop load on real daemons in front of stand-ins, prints and writes the
//! figures, and fails if a guarantee is violated.

#![allow(clippy::print_stdout, reason = "the table goes to standard output")]

use std::process::ExitCode;

use standins::json_client::CallError;
use standins::load::{
    LoadOptions, load_command, markdown_row, markdown_table, run_load, write_report,
};

/// Maximum number of violations that are printed.
const MAX_SHOWN: usize = 20;

#[tokio::main]
async fn main() -> ExitCode {
    let options = LoadOptions::from_matches(&load_command().get_matches());
    match run(&options).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            println!("FAILED: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the load and returns whether every guarantee was kept.
async fn run(options: &LoadOptions) -> Result<bool, CallError> {
    let figures = run_load(options).await?;
    println!("{}", markdown_table(&figures));
    println!("{}", markdown_row(&figures));
    for violation in figures.broken.iter().take(MAX_SHOWN) {
        println!("BROKEN: {violation}");
    }
    if let Some(directory) = &options.out {
        write_report(directory, &figures)?;
    }
    Ok(figures.broken.is_empty())
}
