//! Compares layer plans and routing rules on simulated engines.

use std::io::Write;
use std::time::{Duration, Instant};

use clap::{Arg, Command, value_parser};
use standins::command_line::{number, number_arg};
use standins::trial::{
    FleetSettings, PlanKind, RoutingRule, TrialSettings, ZoneEngines, plot_rows, run_trial,
    zone_ranges,
};

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
                .help("Engines of a zone as KIND=COUNT,... instead of the fleet's; once for each zone"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .action(clap::ArgAction::Append)
                .value_parser(value_parser!(f64))
                .help("Requests per second over all zones instead of the fleet's; once for each trial"),
        )
        .arg(
            Arg::new("fleet")
                .long("fleet")
                .value_parser(FleetSettings::NAMES)
                .default_value("default")
                .help("Engines and demand"),
        )
        .arg(
            Arg::new("cost-only")
                .long("cost-only")
                .action(clap::ArgAction::SetTrue)
                .help("Compare only the plans of the planner, with the routing of the daemon"),
        )
        .arg(
            Arg::new("show")
                .long("show")
                .action(clap::ArgAction::SetTrue)
                .help("Print the planned ranges"),
        )
        .get_matches();
    let name = matches.get_one::<String>("fleet");
    let fleet = name.and_then(|name| FleetSettings::named(name));
    let fleet = fleet.expect("the parser accepts only known fleets");
    let zones = match matches.get_many::<String>("zone") {
        None => fleet.zones,
        Some(zones) => {
            let zones = zones.enumerate();
            zones.map(|(index, text)| parse_zone(index, text)).collect()
        }
    };
    let rates = match matches.get_many::<f64>("rate") {
        None => vec![fleet.per_s],
        Some(rates) => rates.copied().collect(),
    };
    let mut out = std::io::stdout().lock();
    let mut bars = Vec::new();
    writeln!(
        out,
        "{:12} {:18} {:>5} on time   late refused  cut  first50 first95 pause95",
        "plan", "rule", "a s"
    )?;
    if matches.get_flag("show") {
        for plan in [PlanKind::Planned, PlanKind::PlannedByMemory] {
            for zone in &zones {
                let started = Instant::now();
                let ranges = zone_ranges(&fleet.simulation.model, zone, plan);
                let took_ms = started.elapsed().as_millis();
                let (plan, zone) = (plan.name(), &zone.zone);
                writeln!(out, "{plan} {zone}: {ranges} ({took_ms} ms)")?;
            }
        }
    }
    let (plans, rules) = match matches.get_flag("cost-only") {
        true => (&PlanKind::ALL[..2], &RoutingRule::ALL[..1]),
        false => (&PlanKind::ALL[..], &RoutingRule::ALL[..]),
    };
    for rate in &rates {
        for plan in plans {
            for rule in rules {
                let mut figures = run_trial(&TrialSettings {
                    simulation: fleet.simulation.clone(),
                    zones: zones.clone(),
                    plan: *plan,
                    rule: *rule,
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
