//! Simulations of strategies that divide the rate limit of a target among hosts. The
//! requests that targets receive are checked against the limit.

mod simulation;
mod strategies;

use simulation::{Outcome, Scenario, simulate};
use strategies::Strategy;

fn scenario(strategy: Strategy, hosts: usize, seed: u64) -> Scenario {
    Scenario {
        strategy,
        hosts,
        targets: 3,
        per_second: 6.4,
        demand: 2.9,
        loss: 0.0,
        lowered: false,
        faults: false,
        seed,
    }
}

/// Guards against a limit that each host applies separately.
#[test]
fn a_limit_copied_to_each_host_is_exceeded() {
    let outcome = simulate(&scenario(Strategy::Copied, 8, 1));
    assert_eq!(outcome.violations, 3, "{outcome:?}");
}

/// Runs a simulation in which every limit has to be kept.
fn simulate_within_limit(scenario: &Scenario) -> Outcome {
    let outcome = simulate(scenario);
    assert_eq!(outcome.violations, 0, "{scenario:?}: {outcome:?}");
    outcome
}

/// Runs a simulation in which every limit has to be kept, and used while there is demand.
fn simulate_full_use(scenario: &Scenario) {
    let outcome = simulate_within_limit(scenario);
    assert!(outcome.used >= 0.9, "{scenario:?}: {outcome:?}");
}

/// Guards against a limit that all hosts together exceed or leave unused.
#[test]
fn issued_permits_keep_and_use_the_limit() {
    for (hosts, per_second) in [(8, 2.0), (8, 6.4), (84, 2.0), (84, 6.4), (300, 6.4)] {
        for seed in 0..4 {
            simulate_full_use(&Scenario {
                per_second,
                ..scenario(Strategy::Issued, hosts, seed)
            });
        }
    }
}

/// Guards against hosts that issue more than the limit while they take each other for
/// dead, start, or are partitioned.
#[test]
fn issued_permits_keep_the_limit_through_restarts_partitions_and_lost_calls() {
    for (hosts, per_second) in [(3, 20.0), (8, 0.5), (8, 6.4), (24, 50.0), (84, 6.4)] {
        for seed in 0..seeds() {
            simulate_within_limit(&Scenario {
                per_second,
                loss: 0.05,
                faults: true,
                ..scenario(Strategy::Issued, hosts, seed)
            });
        }
    }
}

/// Guards against permits that were issued under a limit that is lower now.
#[test]
fn issued_permits_keep_and_use_a_lowered_limit() {
    for hosts in [8, 84] {
        for seed in 0..seeds() {
            simulate_full_use(&Scenario {
                lowered: true,
                ..scenario(Strategy::Issued, hosts, seed)
            });
        }
    }
}

/// Returns the number of seeds of each scenario; `LIMIT_SEEDS` overrides it.
fn seeds() -> u64 {
    let requested = std::env::var("LIMIT_SEEDS").ok();
    requested
        .and_then(|requested| requested.parse().ok())
        .unwrap_or(6)
}

/// Results of a strategy, over several seeds.
#[derive(Debug, Default)]
struct StrategyFigures {
    violations: usize,
    worst: f64,
    used: f64,
    refused: f64,
    calls_per_s: f64,
    busiest_per_s: f64,
}

fn figures(strategy: Strategy, hosts: usize, per_second: f64, faults: bool) -> StrategyFigures {
    let mut figures = StrategyFigures::default();
    let count = seeds();
    let seconds = 23.0 * count as f64;
    for seed in 0..count {
        let outcome = simulate(&Scenario {
            per_second,
            faults,
            loss: if faults { 0.05 } else { 0.0 },
            ..scenario(strategy, hosts, seed)
        });
        let requests = (outcome.refused + outcome.served) as f64;
        figures.violations += outcome.violations;
        figures.worst = figures.worst.max(outcome.worst);
        figures.used += outcome.used / count as f64;
        figures.refused += outcome.refused as f64 / requests / count as f64;
        figures.calls_per_s += outcome.calls as f64 / hosts as f64 / seconds;
        figures.busiest_per_s += outcome.busiest as f64 / seconds;
    }
    figures
}

/// Guards against a strategy that leaves limits unused where others use them. With
/// `LIMIT_TABLE` set and `--nocapture`, prints the table of the design page.
#[test]
fn issued_permits_use_more_of_a_limit_than_shares_do() {
    let issued = figures(Strategy::Issued, 84, 6.4, false);
    for shares in [Strategy::Equal, Strategy::Demand] {
        let other = figures(shares, 84, 6.4, false);
        assert!(
            issued.used > other.used + 0.3,
            "{issued:?}, {shares:?} {other:?}"
        );
    }
    if std::env::var_os("LIMIT_TABLE").is_some() {
        print_table();
    }
}

#[expect(clippy::print_stdout, reason = "the table is what is asked for")]
fn print_table() {
    for (faults, per_second) in [
        (false, 0.5),
        (false, 6.4),
        (false, 50.0),
        (true, 6.4),
        (true, 50.0),
    ] {
        for hosts in [8, 84, 195, 300] {
            for strategy in [
                Strategy::Copied,
                Strategy::Equal,
                Strategy::Demand,
                Strategy::Issued,
            ] {
                let row = figures(strategy, hosts, per_second, faults);
                println!(
                    "| {per_second} | {faults} | {hosts} | {strategy:?} | {} | {:.2} | {:.2} | {:.2} | {:.1} | {:.1} |",
                    row.violations,
                    row.worst,
                    row.used,
                    row.refused,
                    row.calls_per_s,
                    row.busiest_per_s
                );
            }
        }
    }
}
