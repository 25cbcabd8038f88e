//! Ways to divide a target's limit among hosts, played in memory: what targets get is
//! judged by the rule.

mod ways;
mod world;

use ways::Way;
use world::{Game, Outcome, play};

fn game(way: Way, hosts: usize, seed: u64) -> Game {
    Game {
        way,
        hosts,
        targets: 3,
        per_second: 6.4,
        demand: 2.9,
        loss: 0.0,
        lowered: false,
        trouble: false,
        seed,
    }
}

/// Guards against a limit that each host keeps by itself.
#[test]
fn a_limit_that_is_copied_to_each_host_is_found_out() {
    let outcome = play(&game(Way::Copied, 8, 1));
    assert_eq!(outcome.breaches, 3, "{outcome:?}");
}

/// Plays a game in which every limit has to be kept.
fn play_kept(game: &Game) -> Outcome {
    let outcome = play(game);
    assert_eq!(outcome.breaches, 0, "{game:?}: {outcome:?}");
    outcome
}

/// Plays a game in which every limit has to be kept, and used while there is work.
fn play_used(game: &Game) {
    let outcome = play_kept(game);
    assert!(outcome.used >= 0.9, "{game:?}: {outcome:?}");
}

/// Guards against a limit that is exceeded by all hosts together, or not used.
#[test]
fn a_limit_that_is_handed_out_is_kept_and_used() {
    for (hosts, per_second) in [(8, 2.0), (8, 6.4), (84, 2.0), (84, 6.4), (300, 6.4)] {
        for seed in 0..4 {
            play_used(&Game {
                per_second,
                ..game(Way::Issued, hosts, seed)
            });
        }
    }
}

/// Guards against hosts that hand out more than the limit while they take each other
/// for dead, start, or are cut off from each other.
#[test]
fn a_limit_is_kept_through_ends_starts_cuts_and_lost_calls() {
    for (hosts, per_second) in [(3, 20.0), (8, 0.5), (8, 6.4), (24, 50.0), (84, 6.4)] {
        for seed in 0..seeds() {
            play_kept(&Game {
                per_second,
                loss: 0.05,
                trouble: true,
                ..game(Way::Issued, hosts, seed)
            });
        }
    }
}

/// Guards against what was promised under a limit that is lower now.
#[test]
fn a_limit_that_is_lowered_is_kept_and_used() {
    for hosts in [8, 84] {
        for seed in 0..seeds() {
            play_used(&Game {
                lowered: true,
                ..game(Way::Issued, hosts, seed)
            });
        }
    }
}

/// Seeds of each game; `LIMIT_SEEDS` names another number.
fn seeds() -> u64 {
    let asked = std::env::var("LIMIT_SEEDS").ok();
    asked.and_then(|asked| asked.parse().ok()).unwrap_or(6)
}

/// Figures of a way over some seeds.
#[derive(Debug, Default)]
struct WayFigures {
    breaches: usize,
    worst: f64,
    used: f64,
    refused: f64,
    calls_per_s: f64,
    busiest_per_s: f64,
}

fn figures(way: Way, hosts: usize, per_second: f64, trouble: bool) -> WayFigures {
    let mut figures = WayFigures::default();
    let count = seeds();
    let seconds = 23.0 * count as f64;
    for seed in 0..count {
        let outcome = play(&Game {
            per_second,
            trouble,
            loss: if trouble { 0.05 } else { 0.0 },
            ..game(way, hosts, seed)
        });
        let requests = (outcome.refused + outcome.served) as f64;
        figures.breaches += outcome.breaches;
        figures.worst = figures.worst.max(outcome.worst);
        figures.used += outcome.used / count as f64;
        figures.refused += outcome.refused as f64 / requests / count as f64;
        figures.calls_per_s += outcome.calls as f64 / hosts as f64 / seconds;
        figures.busiest_per_s += outcome.busiest as f64 / seconds;
    }
    figures
}

/// Guards against a way that leaves limits unused where others use them. With
/// `LIMIT_TABLE` set and `--nocapture`, prints the table of the design page.
#[test]
fn handing_out_permits_uses_more_of_a_limit_than_shares_do() {
    let issued = figures(Way::Issued, 84, 6.4, false);
    for shares in [Way::Equal, Way::Demand] {
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
    for (trouble, per_second) in [
        (false, 0.5),
        (false, 6.4),
        (false, 50.0),
        (true, 6.4),
        (true, 50.0),
    ] {
        for hosts in [8, 84, 195, 300] {
            for way in [Way::Copied, Way::Equal, Way::Demand, Way::Issued] {
                let row = figures(way, hosts, per_second, trouble);
                println!(
                    "| {per_second} | {trouble} | {hosts} | {way:?} | {} | {:.2} | {:.2} | {:.2} | {:.1} | {:.1} |",
                    row.breaches,
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
