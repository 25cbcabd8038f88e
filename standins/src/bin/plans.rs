//! Compares layer plans and routing rules on simulated engines.

use std::io::Write;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use standins::command_line::{number, number_arg};
use standins::pipeline::SimulationSettings;
use standins::trial::{PlanKind, RoutingRule, TrialSettings, ZoneEngines, plot_rows, run_trial};

fn main() -> std::io::Result<()> {
    let matches = Command::new("plans")
        .about("Compares layer plans and routing rules on simulated engines")
        .arg(number_arg("seconds", "40"))
        .arg(number_arg("seed", "1"))
        .arg(
            Arg::new("zone")
                .long("zone")
                .action(clap::ArgAction::Append)
                .value_parser(value_parser!(String))
                .default_values([
                    "a100=1,l40s=6,l4=5",
                    "a100=2,l40s=2,l4=5",
                    "a100=1,l40s=3,l4=8",
                ])
                .help("Engines of a zone as KIND=COUNT,...; once for each zone"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .action(clap::ArgAction::Append)
                .value_parser(value_parser!(f64))
                .default_values(["60", "90", "130"])
                .help("Requests per second over all zones; once for each trial"),
        )
        .get_matches();
    let zones = matches.get_many::<String>("zone").unwrap_or_default();
    let zones = zones
        .enumerate()
        .map(|(index, text)| parse_zone(index, text));
    let zones = zones.collect::<Vec<_>>();
    let mut out = std::io::stdout().lock();
    let mut bars = Vec::new();
    writeln!(
        out,
        "{:12} {:18} {:>5} on time   late refused  cut  first50 first95 pause95",
        "plan", "rule", "a s"
    )?;
    for rate in matches.get_many::<f64>("rate").unwrap_or_default() {
        for plan in PlanKind::ALL {
            for rule in RoutingRule::ALL {
                let mut figures = run_trial(&TrialSettings {
                    simulation: SimulationSettings::default(),
                    zones: zones.clone(),
                    plan,
                    rule,
                    per_s: *rate,
                    length: Duration::from_secs(number(&matches, "seconds")),
                    seed: number(&matches, "seed"),
                });
                let row = figures.row();
                writeln!(out, "{:12} {:18} {rate:5} {row}", plan.name(), rule.name())?;
                let name = format!("{} / {} / {rate}", plan.name(), rule.name());
                bars.push((name, figures.on_time_share()));
            }
        }
    }
    writeln!(
        out,
        "\nshare of requests completed on time:\n{}",
        plot_rows(&bars)
    )
}

fn parse_zone(index: usize, text: &str) -> ZoneEngines {
    let kinds = text.split(',').filter_map(|pair| pair.split_once('='));
    let kinds = kinds.filter_map(|(kind, count)| Some((kind.to_owned(), count.parse().ok()?)));
    ZoneEngines {
        zone: format!("zone-{index}"),
        kinds: kinds.collect(),
    }
}
