//! Runs the randomized soak test over a range of seeds.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};
use standins::command_line::{count, number, number_arg};
use standins::soak::{
    CallOutcome, HostLimits, LinkScope, RetryBound, ServingTimes, SoakReport, SoakSettings,
    TargetFleet, run_soak,
};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> std::io::Result<ExitCode> {
    let matches = Command::new("soak")
        .about("Runs entry hosts as processes under faults and checks their guarantees")
        .arg(number_arg("first-seed", "1"))
        .arg(number_arg("seeds", "1"))
        .arg(number_arg("seconds", "20"))
        .arg(number_arg("hosts", "4"))
        .arg(number_arg("callers", "16"))
        .arg(
            Arg::new("program")
                .long("program")
                .default_value("target/release/jackdawwickd")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("folder")
                .long("folder")
                .default_value("target/soak")
                .help("Directory for settings and logs; kept for seeds with violations")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("untimed")
                .long("untimed")
                .action(ArgAction::SetTrue)
                .help("Skip guarantees with a time bound"),
        )
        .arg(
            Arg::new("separate-links")
                .long("separate-links")
                .action(ArgAction::SetTrue)
                .help("Give each host links of its own to the targets, and cut them"),
        )
        .arg(
            Arg::new("standstills")
                .long("standstills")
                .action(ArgAction::SetTrue)
                .help("Make targets stand still for up to 2 s and go on"),
        )
        .arg(
            Arg::new("half-fails")
                .long("half-fails")
                .action(ArgAction::SetTrue)
                .help(
                    "Make targets fail half of the calls, under a low bound on retries, beside \
                     one kind of fault: the seed modulo 8 selects it",
                ),
        )
        .arg(
            Arg::new("outdated-seeds")
                .long("outdated-seeds")
                .action(ArgAction::SetTrue)
                .help(
                    "Name seeds at which nothing listens, so that hosts find each other in the log",
                ),
        )
        .get_matches();
    let path = |name: &str| {
        matches
            .get_one::<PathBuf>(name)
            .cloned()
            .unwrap_or_default()
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let first = number(&matches, "first-seed");
    let mut failed = Vec::new();
    for seed in first..first + number(&matches, "seeds") {
        let folder = path("folder").join(format!("seed-{seed}"));
        std::fs::create_dir_all(&folder)?;
        let report = runtime.block_on(run_until_terminated(SoakSettings {
            seed,
            length: Duration::from_secs(number(&matches, "seconds")),
            hosts: count(&matches, "hosts"),
            callers: count(&matches, "callers"),
            program: path("program"),
            folder: folder.clone(),
            links: match matches.get_flag("separate-links") {
                true => LinkScope::Host,
                false => LinkScope::Fleet,
            },
            standstills: matches.get_flag("standstills"),
            timed: !matches.get_flag("untimed"),
            targets: TargetFleet::Several,
            half_fails: matches.get_flag("half-fails"),
            outdated_seeds: matches.get_flag("outdated-seeds"),
            retries: match matches.get_flag("half-fails") {
                true => RetryBound::SCARCE,
                false => RetryBound::default(),
            },
            times: ServingTimes::default(),
            limits: HostLimits::default(),
        }))?;
        writeln!(std::io::stdout(), "{}", line(seed, &report))?;
        match report.violations.is_empty() {
            true => std::fs::remove_dir_all(&folder)?,
            false => save_history(&folder, &report, &mut failed, seed)?,
        }
    }
    writeln!(std::io::stdout(), "seeds with violations: {failed:?}")?;
    Ok(ExitCode::from(u8::from(!failed.is_empty())))
}

/// Runs a soak. A signal to stop ends it together with its hosts, which would otherwise go on
/// calling addresses that other programs may use by then.
async fn run_until_terminated(settings: SoakSettings) -> std::io::Result<SoakReport> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        report = run_soak(settings) => report,
        _ = terminate.recv() => Err(std::io::ErrorKind::Interrupted.into()),
        _ = interrupt.recv() => Err(std::io::ErrorKind::Interrupted.into()),
    }
}

fn line(seed: u64, report: &SoakReport) -> String {
    let with_status = |range: std::ops::Range<u16>| {
        report.count(
            |ended| matches!(ended, CallOutcome::Completed { status, .. } if range.contains(&status)),
        )
    };
    let retries = report.retries.iter();
    let retries = retries.map(|window| format!("{} of {}", window.arrivals, window.allowed));
    format!(
        "seed {seed}: {} faults, {} calls, {} served, {} refused or failed, {} interrupted, {} unanswered, {} timed out; retries: {}; violations: {:?}",
        report.faults,
        report.history.calls.len(),
        with_status(200..300),
        with_status(300..600),
        report.count(|ended| ended == CallOutcome::Interrupted),
        report.count(|ended| ended == CallOutcome::Unanswered),
        report.count(|ended| ended == CallOutcome::TimedOut),
        retries.collect::<Vec<_>>().join(", "),
        report.violations,
    )
}

fn save_history(
    folder: &Path,
    report: &SoakReport,
    failed: &mut Vec<u64>,
    seed: u64,
) -> std::io::Result<()> {
    failed.push(seed);
    std::fs::write(folder.join("history.txt"), format!("{:#?}", report.history))
}
