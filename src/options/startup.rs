//! What the daemon's `main` is to do, from its command line.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use super::arguments::{CHECK, CONFIG, PLATFORM, PRINT_SAMPLE, daemon_command};
use super::{DaemonOptions, SAMPLE_TOML};
use crate::platform::names::SETTINGS_VARIABLE;

/// Exit status for a wrong command line or wrong settings.
const USAGE_STATUS: u8 = 2;

/// What the daemon's `main` is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum StartupAction {
    /// Run with these settings.
    Run(Box<DaemonOptions>),
    /// Run as an entry host of the users' platform, with the settings at this
    /// path.
    RunEntry(PathBuf),
    /// Print the text to standard output and exit with status 0.
    Print(String),
    /// Print the message to standard error and exit with the status.
    Fail {
        /// What is wrong and what to do next.
        message: String,
        /// Exit status.
        status: u8,
    },
}

/// Reads the command line, the program's name first, and the settings file
/// that it names.
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
        None => fail("name a settings file with --config FILE".to_owned()),
    }
}

fn plan_entry() -> StartupAction {
    match std::env::var_os(SETTINGS_VARIABLE) {
        Some(path) => StartupAction::RunEntry(PathBuf::from(path)),
        None => fail(format!("{SETTINGS_VARIABLE} names no settings file")),
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
