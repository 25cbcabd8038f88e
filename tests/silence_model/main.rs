//! The decision about silent requests, by itself and in games of hosts and engines.

mod decisions;
mod engines;
mod game;
mod rules;
mod streams;
mod summary;

use engines::{Fault, FaultKind};
use game::{EIGHT, FleetPlan, Game, LARGEST, SECOND, SIXTY};
use rules::SilenceRule;
use summary::GameSummary;

const RULE: SilenceRule = SilenceRule::Hedge;

fn check(game: &Game, name: &str) {
    let given_up = game.given_up.first();
    assert!(given_up.is_none(), "{name}: {given_up:?}");
    game.counts.assert_bound(name);
}

/// Guards against requests that are ended for a silence, against repeats beyond the bound,
/// and, in the game itself, against events that are lost or passed on twice and against
/// requests that run too often.
#[test]
fn no_request_is_ended_while_its_engine_would_go_on() {
    for kind in FaultKind::ALL {
        for seed in 0..2 {
            let game = Game::play(EIGHT, RULE, kind, seed);
            check(&game, &format!("8 hosts, {kind:?}, seed {seed}"));
        }
    }
}

/// The same in a larger fleet.
#[test]
fn no_request_is_ended_while_its_engine_would_go_on_and_few_retries_are_left() {
    for kind in [FaultKind::Spent, FaultKind::Mixed] {
        let game = Game::play(SIXTY, RULE, kind, 1);
        check(&game, &format!("60 hosts, {kind:?}"));
    }
}

/// Guards against a game that shows no fault whatever the rule is.
#[test]
fn the_game_shows_requests_that_are_given_up() {
    for kind in [FaultKind::Series, FaultKind::Spent, FaultKind::All] {
        let game = Game::play(EIGHT, SilenceRule::GiveUp, kind, 0);
        assert!(!game.given_up.is_empty(), "{kind:?}");
    }
}

/// Guards against retries that are spent on targets that are as silent as the first one.
#[test]
fn hardly_a_retry_is_spent_when_all_engines_stand_still() {
    for plan in [EIGHT, SIXTY] {
        let game = Game::play(plan, RULE, FaultKind::All, 0);
        let used = game.counts.fullest().used();
        assert!(used <= 0.02, "{} hosts: {used}", plan.hosts);
    }
}

/// Guards against callers who wait for an engine that has lost its power although retries
/// are left.
#[test]
fn streams_of_a_dark_engine_are_soon_sent_elsewhere() {
    for plan in [EIGHT, SIXTY, LARGEST] {
        let mut game = Game::open(plan, RULE, 3);
        game.run(&[(8 * SECOND, Fault::Darken { engine: 1 })]);
        check(&game, &format!("{} hosts", plan.hosts));
        let summary = GameSummary::of(&game);
        assert!(summary.dark > 0, "{} hosts: {summary:?}", plan.hosts);
        assert_eq!(summary.dark_complete, summary.dark, "{summary:?}");
        // The first check, the one after it, and connecting to a target that is dark as well.
        let limit = 0.7 + 0.25 + 0.15 + 0.25 + 0.25;
        assert!(summary.longest_repeat_wait <= limit, "{summary:?}");
    }
}

/// Guards against callers of engines that end without a sign who fare worse than under a rule
/// that gives their streams up.
#[test]
fn as_many_streams_of_dark_engines_complete_as_if_they_were_given_up() {
    let games = [
        (EIGHT, FaultKind::Dark),
        (EIGHT, FaultKind::Spent),
        (SIXTY, FaultKind::Dark),
    ];
    for (plan, kind) in games {
        let [before, now] = [SilenceRule::GiveUp, RULE].map(|rule| {
            let games = (0..3).map(|seed| GameSummary::of(&Game::play(plan, rule, kind, seed)));
            games.fold(GameSummary::default(), GameSummary::add)
        });
        let share = |summary: GameSummary| summary.dark_complete as f64 / summary.dark as f64;
        let (now, before) = (share(now), share(before));
        let hosts = plan.hosts;
        assert!(now >= before, "{hosts} hosts, {kind:?}: {now}, {before}");
    }
}

/// Threads that play games at the same time in the long run.
const WORKERS: u64 = 3;

/// Rules of the long run.
const RULES: [(&str, SilenceRule); 2] = [("give up", SilenceRule::GiveUp), ("product", RULE)];

/// Plays two kinds of games for each of these seeds, under all rules. Returns the sums of each
/// kind and rule.
fn play_some<S>(plan: FleetPlan, seeds: S) -> Vec<GameSummary>
where
    S: Iterator<Item = u64>,
{
    let mixed = FaultKind::ALL.len() - 1;
    let mut sums = vec![GameSummary::default(); FaultKind::ALL.len() * RULES.len()];
    for seed in seeds {
        for number in [seed as usize % mixed, mixed] {
            let kind = FaultKind::ALL[number];
            for (column, (name, rule)) in RULES.into_iter().enumerate() {
                let game = Game::play(plan, rule, kind, seed);
                if rule != SilenceRule::GiveUp {
                    let name = format!("{} hosts, {kind:?}, {name}, seed {seed}", plan.hosts);
                    check(&game, &name);
                }
                let sum = &mut sums[number * RULES.len() + column];
                *sum = sum.add(GameSummary::of(&game));
            }
        }
    }
    sums
}

#[expect(clippy::print_stdout, reason = "the figures are what the run is for")]
fn play_seeds(plan: FleetPlan) {
    let sums = std::thread::scope(|scope| {
        let workers = (0..WORKERS).map(|first| {
            let seeds = (first..40).step_by(WORKERS as usize);
            scope.spawn(move || play_some(plan, seeds))
        });
        let workers = workers.collect::<Vec<_>>();
        let sums = workers.into_iter().map(|worker| worker.join());
        let sums = sums.map(|sums| sums.expect("a worker completes"));
        let added = sums.reduce(|left, right| {
            let pairs = left.into_iter().zip(right);
            pairs.map(|(left, right)| left.add(right)).collect()
        });
        added.expect("there are workers")
    });
    for (number, sum) in sums.iter().enumerate() {
        let kind = FaultKind::ALL[number / RULES.len()];
        let (name, _) = RULES[number % RULES.len()];
        println!("{} hosts, {kind:?}, {name}: {sum}", plan.hosts);
    }
}

#[test]
#[ignore = "takes minutes; run by hand"]
fn eight_hosts_over_many_seeds() {
    play_seeds(EIGHT);
}

#[test]
#[ignore = "takes minutes; run by hand"]
fn sixty_hosts_over_many_seeds() {
    play_seeds(SIXTY);
}

#[test]
#[ignore = "takes minutes; run by hand"]
fn the_largest_fleet_over_many_seeds() {
    play_seeds(LARGEST);
}
