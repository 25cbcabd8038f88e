//! Tests how many retries the budgets of single hosts allow.

use std::time::{Duration, Instant};

use jackdawwick::retry::{RetryUse, WindowBudget, WindowSettings};

const WINDOW: Duration = Duration::from_secs(10);
const MINUTE: Duration = Duration::from_secs(60);

fn settings(slack: f64, opened: Instant) -> WindowSettings {
    WindowSettings {
        window: WINDOW,
        ratio: 0.0,
        slack,
        opened,
    }
}

/// Spends as many retries as the budget allows at one moment.
fn spend_all(budget: &mut WindowBudget, settings: WindowSettings, now: Instant) -> usize {
    let granted = std::iter::from_fn(|| {
        let id = budget.grant(settings, RetryUse::Replacement, now)?;
        budget.settle(id, now);
        Some(id)
    });
    granted.count()
}

/// Guards against large fleets in which no host may retry since each has less than one retry.
#[test]
fn small_shares_of_many_hosts_add_up_and_no_host_is_left_out() {
    let opened = Instant::now();
    let settings = settings(0.5, opened);
    let mut spent = [0; 100];
    let budgets = (0..100).map(|host| WindowBudget::new(f64::from(host) / 100.0));
    let mut budgets = budgets.collect::<Vec<_>>();
    for minute in 1..=30 {
        let now = opened + MINUTE * minute;
        let mut total = 0;
        for (budget, spent) in budgets.iter_mut().zip(&mut spent) {
            let count = spend_all(budget, settings, now);
            *spent += count;
            total += count;
        }
        // Three tenths of the shares of all hosts may be spent at one moment.
        assert!((14..=16).contains(&total), "minute {minute}: {total}");
    }
    assert!(spent.iter().all(|spent| *spent > 0), "{spent:?}");
}

/// Guards against a process that spends at once what its successor cannot know of.
#[test]
fn a_share_is_spent_in_parts_over_the_window() {
    let opened = Instant::now();
    let settings = settings(100.0, opened);
    let mut budget = WindowBudget::new(0.0);
    let calm = opened + MINUTE;
    assert_eq!(spend_all(&mut budget, settings, calm), 30);
    assert_eq!(spend_all(&mut budget, settings, calm + WINDOW / 10), 7);
    let spread = (2..20).map(|part| calm + WINDOW / 20 * part);
    let spread = spread.map(|now| spend_all(&mut budget, settings, now));
    let rest = spread.sum::<usize>();
    assert!((60..=63).contains(&rest), "{rest}");
}

/// Guards against a process that has the whole share although its predecessor spent it.
#[test]
fn a_first_window_has_only_what_accrues_since_the_start() {
    let opened = Instant::now();
    let settings = settings(100.0, opened);
    let mut budget = WindowBudget::new(0.0);
    assert_eq!(spend_all(&mut budget, settings, opened), 0);
    assert_eq!(spend_all(&mut budget, settings, opened + WINDOW / 5), 14);
    assert_eq!(spend_all(&mut budget, settings, opened + WINDOW / 2), 21);
}
