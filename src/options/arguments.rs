//! Command line of the daemon.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, crate_version, value_parser};

/// Argument with the path of the settings file.
pub(super) const CONFIG: &str = "config";
/// Argument that checks the settings and exits.
pub(super) const CHECK: &str = "check";
/// Argument that prints the sample file.
pub(super) const PRINT_SAMPLE: &str = "print-sample";

/// Argument that takes the settings from the users' platform.
pub(super) const PLATFORM: &str = "platform";

/// Returns the command line definition of `jackdawwickd`.
pub fn daemon_command() -> Command {
    let config = Arg::new(CONFIG)
        .long(CONFIG)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required_unless_present_any([PRINT_SAMPLE, PLATFORM])
        .help("TOML file with the settings");
    let check = Arg::new(CHECK)
        .long(CHECK)
        .action(ArgAction::SetTrue)
        .help("Check the settings, report every mistake, and exit");
    let print_sample = Arg::new(PRINT_SAMPLE)
        .long(PRINT_SAMPLE)
        .action(ArgAction::SetTrue)
        .conflicts_with_all([CONFIG, CHECK])
        .help("Print a documented settings file and exit");
    let platform = Arg::new(PLATFORM)
        .long(PLATFORM)
        .action(ArgAction::SetTrue)
        .conflicts_with_all([CONFIG, CHECK, PRINT_SAMPLE])
        .help("Run as an entry host with the settings of the users' platform");
    Command::new("jackdawwickd")
        .version(crate_version!())
        .about("Routes requests over pipelines of mixed accelerators")
        .arg(config)
        .arg(check)
        .arg(print_sample)
        .arg(platform)
}
