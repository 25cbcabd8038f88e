//! Prints the lost requests of a run, by cause and second, from the log lines of its
//! hosts on standard input.

use std::io::{BufRead, Write, stdin, stdout};
use std::process::ExitCode;

use clap::Command;
use standins::losses::{LossTally, parse_line};

fn main() -> ExitCode {
    let command = Command::new("losses")
        .about("Counts requests by outcome; reads log lines from standard input");
    command.get_matches();
    let lines = stdin().lock().lines().map_while(Result::ok);
    let tally = LossTally::of(lines.filter_map(|line| parse_line(&line)));
    match write!(stdout().lock(), "{tally}") {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}
