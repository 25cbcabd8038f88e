//! Determines from the command line what the daemon's `main` does.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use super::arguments::{CHECK, CONFIG, PLATFORM, PRINT_SAMPLE, daemon_command};
use super::{DaemonOptions, SAMPLE_TOML};
use crate::platform::names::SETTINGS_VARIABLE;

/// Exit status for an invalid command line or invalid settings.
const USAGE_STATUS: u8 = 2;

/// Action that the daemon's `main` executes.
#[derive(Debug, Clone, PartialEq)]
pub enum StartupAction {
    /// Run with these settings.
    Run(Box<DaemonOptions>),
    /// Run as an entry host of the users' platform with the settings file at this path.
    RunEntry(PathBuf),
    /// Print the text to standard output and exit with status 0.
    Print(String),
    /// Print the message to standard error and exit with the given status.
    Fail {
        /// Cause of the failure and how to proceed.
        message: String,
        /// Exit status.
        status: u8,
    },
}

/// Reads the command line, whose first argument is the program's name, and the settings
/// file that it names.
pub fn plan_startup<I, T>(arguments: I) -> StartupAction
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
{
    let matches = match daemon_command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) if error.use_stderr() => return fail(error.to_string()),
        Err(help) => return StartupAction::Print(help.to_string()),
    };
    if matches.get_flag(PRINT_SAMPLE) {
        return StartupAction::Print(SAMPLE_TOML.to_owned());
    }
    if matches.get_flag(PLATFORM) {
        return plan_entry();
    }
    match matches.get_one::<PathBuf>(CONFIG) {
        Some(path) => load(path, matches.get_flag(CHECK)),
        None => fail("no settings file: give --config FILE".to_owned()),
    }
}

fn plan_entry() -> StartupAction {
    match std::env::var_os(SETTINGS_VARIABLE) {
        Some(path) => StartupAction::RunEntry(PathBuf::from(path)),
        None => fail(format!(
            "{SETTINGS_VARIABLE} is not set to the path of a settings file"
        )),
    }
}

fn load(path: &Path, check_only: bool) -> StartupAction {
    let file = path.display();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return fail(format!("{file}: cannot be read: {error}")),
    };
    match DaemonOptions::from_toml(&text) {
        Ok(_) if check_only => StartupAction::Print(format!("{file}: valid\n")),
        Ok(options) => StartupAction::Run(Box::new(options)),
        Err(error) => fail(format!(
            "{file}: {error}\nSee `jackdawwickd --print-sample` for every key."
        )),
    }
}

fn fail(message: String) -> StartupAction {
    StartupAction::Fail {
        message,
        status: USAGE_STATUS,
    }
}
