//! Plays games of retries under random faults and prints the fullest window of each.

use std::io::Write;
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use models::retry::{EIGHT, FleetPlan, LARGE, LARGEST, SIXTY, play_random};

fn main() -> std::io::Result<ExitCode> {
    let matches = Command::new("retry-model")
        .about(
            "Plays fleets that lack retries under random faults, and checks the bound on retries",
        )
        .arg(number_arg("first-seed", "0"))
        .arg(number_arg("seeds", "40"))
        .arg(number_arg("seconds", "40"))
        .arg(
            Arg::new("hosts")
                .long("hosts")
                .default_value("all")
                .value_parser(["8", "60", "195", "300", "all"]),
        )
        .get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let hosts = matches
        .get_one::<String>("hosts")
        .map_or("all", |hosts| hosts);
    let first = number("first-seed");
    let mut exceeded = 0_u32;
    for seed in first..first + number("seeds") {
        for plan in plans(hosts) {
            let game = play_random(plan, seed, number("seconds") as usize);
            let (size, window) = (game.size(), game.fullest());
            writeln!(
                std::io::stdout(),
                "{size} hosts, seed {seed}: {} of {:.0}, {:.3}",
                window.arrivals,
                window.allowed,
                window.used()
            )?;
            exceeded += u32::from(window.used() > 1.0);
        }
    }
    writeln!(std::io::stdout(), "games over the bound: {exceeded}")?;
    Ok(ExitCode::from(u8::from(exceeded > 0)))
}

fn number_arg(name: &'static str, default: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).default_value(default);
    arg.value_parser(value_parser!(u64))
}

/// Returns the fleets of a size, or of all sizes.
fn plans(hosts: &str) -> Vec<FleetPlan> {
    match hosts {
        "8" => vec![EIGHT],
        "60" => vec![SIXTY],
        "195" => vec![LARGE],
        "300" => vec![LARGEST],
        _ => vec![EIGHT, SIXTY, LARGE, LARGEST],
    }
}
