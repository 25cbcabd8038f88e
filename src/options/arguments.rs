//! The daemon's command line.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, crate_version, value_parser};

/// Name of the argument that names the settings file.
pub(super) const CONFIG: &str = "config";
/// Name of the argument that checks the settings and exits.
pub(super) const CHECK: &str = "check";
/// Name of the argument that prints the sample file.
pub(super) const PRINT_SAMPLE: &str = "print-sample";

/// The command line of `jackdawwickd`.
pub fn daemon_command() -> Command {
    let config = Arg::new(CONFIG)
        .long(CONFIG)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required_unless_present(PRINT_SAMPLE)
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
    Command::new("jackdawwickd")
        .version(crate_version!())
        .about("Routes requests over pipelines of mixed accelerators")
        .arg(config)
        .arg(check)
        .arg(print_sample)
}
