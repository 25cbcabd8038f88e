//! Measures the resources that a daemon uses while one parameter is varied at a time.

#![allow(clippy::print_stdout, reason = "the runs go to standard output")]

use std::fs::{self, OpenOptions};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use standins::json_client::CallError;
use standins::slopes::{SERIES, SlopeRun, markdown_report, run_once};

/// Maximum length of the measurement window, in seconds.
const MAX_SECONDS: u64 = 60;
/// Maximum duration of one run besides its window: start, declarations, warm-up and
/// shutdown.
const RUN_OVERHEAD_TIMEOUT: Duration = Duration::from_secs(90);

fn command() -> Command {
    let series: Vec<&str> = SERIES.iter().map(|(name, _)| *name).collect();
    Command::new("slopes")
        .about("Measures the resources that a daemon uses while one parameter is varied at a time")
        .after_help(
            "Memory is measured only in the first run of a process: start one process per value \
             to measure it.",
        )
        .args([
            Arg::new("series")
                .value_parser(series)
                .help("Series to run; by default all of them"),
            Arg::new("values")
                .num_args(0..)
                .value_parser(value_parser!(u64).range(0..=2_000))
                .help("Values of the series; by default a fixed list"),
            Arg::new("runs")
                .long("runs")
                .default_value("3")
                .value_parser(value_parser!(u64).range(1..=20)),
            Arg::new("seconds")
                .long("seconds")
                .default_value("10")
                .value_parser(value_parser!(u64).range(1..=MAX_SECONDS)),
            Arg::new("out")
                .long("out")
                .value_parser(value_parser!(PathBuf))
                .help("File to which each run is added as a line of JSON"),
            Arg::new("report")
                .long("report")
                .value_parser(value_parser!(PathBuf))
                .help("File whose runs are printed as tables; nothing is measured"),
        ])
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(&command().get_matches()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            println!("FAILED: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(matches: &ArgMatches) -> Result<(), CallError> {
    if let Some(path) = matches.get_one::<PathBuf>("report") {
        println!("{}", markdown_report(&read_runs(path)?));
        return Ok(());
    }
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let window = Duration::from_secs(number("seconds"));
    let chosen = matches.get_one::<String>("series");
    let given: Vec<u64> = matches
        .get_many("values")
        .into_iter()
        .flatten()
        .copied()
        .collect();
    let mut runs = Vec::new();
    for (series, default_values) in SERIES {
        if chosen.is_some_and(|chosen| chosen != series) {
            continue;
        }
        let values = if given.is_empty() {
            default_values
        } else {
            &given
        };
        for _ in 0..number("runs") {
            for value in values {
                let once = run_once(series, *value, window, runs.is_empty());
                let run = tokio::time::timeout(window + RUN_OVERHEAD_TIMEOUT, once).await??;
                let line = serde_json::to_string(&run)?;
                println!("{line}");
                if let Some(path) = matches.get_one::<PathBuf>("out") {
                    let mut file = OpenOptions::new().create(true).append(true).open(path)?;
                    writeln!(file, "{line}")?;
                }
                runs.push(run);
            }
        }
    }
    println!("{}", markdown_report(&runs));
    Ok(())
}

fn read_runs(path: &Path) -> Result<Vec<SlopeRun>, CallError> {
    let text = fs::read_to_string(path)?;
    let runs = text.lines().map(serde_json::from_str);
    Ok(runs.collect::<Result<_, _>>()?)
}
