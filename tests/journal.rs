//! The journal is bounded and reports how many entries it dropped.

use std::time::{Duration, SystemTime};

use jackdawwick::api::wire::ExplainView;
use jackdawwick::journal::{
    JournalBounds, JournalEntry, JournalEvent, JournalSubject, JournalTable,
};
use jackdawwick::reason::{RefusalReason, RetryReason};
use jackdawwick::resources::{ResourceKey, ResourceKind};
use jackdawwick::routing::RouteScore;
use jackdawwick::verdict::RunVerdict;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn entry(subject: &str, at_ms: u64, event: JournalEvent) -> JournalEntry {
    JournalEntry {
        at: SystemTime::UNIX_EPOCH + Duration::from_millis(at_ms),
        subject: JournalSubject::from_text(subject),
        event,
    }
}

fn retried(stage: usize) -> JournalEvent {
    JournalEvent::Retried {
        stage,
        target: "vake-1".into(),
        reason: RetryReason::ResponseLost,
    }
}

#[test]
fn the_decisions_about_a_request_are_listed_in_order() {
    let mut table = JournalTable::default();
    let events = [
        JournalEvent::Queued {
            organisation: "office".into(),
        },
        JournalEvent::Routed {
            pipeline: "receipts".into(),
            version: "v2".into(),
            targets: vec!["vake-1".into(), "didube-4".into()],
            score: RouteScore {
                queue: Duration::from_millis(20),
                prefill: Duration::from_millis(100),
                decode: Duration::from_millis(1500),
                links: Duration::from_millis(2),
            },
        },
        retried(1),
        JournalEvent::StageReplaced {
            stage: 1,
            target: Some("didube-5".into()),
            reason: RetryReason::ConnectFailed,
        },
        JournalEvent::Delivered { count: 1 },
        JournalEvent::Delivered { count: 2 },
        JournalEvent::Finished {
            verdict: RunVerdict::MayHaveRun,
            delivered: 2,
            reason: Some(RefusalReason::DeadlinePassed),
        },
    ];
    for (at_ms, event) in (0..).zip(events) {
        table.record(entry("r-1", at_ms, event));
    }
    let subject = JournalSubject::from_text("r-1");
    let view = ExplainView::new(&subject, &table.explain(&subject));
    let lines: Vec<_> = view
        .entries
        .iter()
        .map(|entry| format!("{} {} {}", entry.at_ms, entry.subject, entry.text))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_subject_names_a_resource_or_a_request() {
    let key = ResourceKey::new(ResourceKind::Model, "reader");
    let resource = JournalSubject::from_text("model/reader");
    assert_eq!(resource, JournalSubject::Resource(key));
    let request = JournalSubject::from_text("a/b");
    assert_eq!(request, JournalSubject::Request("a/b".into()));
}

/// A request is retried more often than the bound on its entries. `explain` must report
/// the dropped entries; otherwise the request appears to begin with a retry.
#[test]
fn dropped_entries_are_reported() {
    let bounds = JournalBounds {
        entries: 100,
        subject_entries: 3,
    };
    let mut table = JournalTable::new(bounds);
    for at_ms in 0..8 {
        table.record(entry("r-1", at_ms, retried(0)));
    }
    let subject = JournalSubject::from_text("r-1");
    let view = ExplainView::new(&subject, &table.explain(&subject));
    assert_eq!(view.entries.len(), 4);
    assert_eq!(view.entries[0].text, "5 earlier decisions left out");
}

/// Returns the entries that a naive journal keeps, which applies the bounds by scans, and
/// the number of dropped ones.
fn naive_explain(written: &[(u8, bool)], wanted: u8, bounds: JournalBounds) -> (Vec<usize>, u64) {
    let mut kept: Vec<(u8, Vec<usize>, u64)> = Vec::new();
    for (index, (subject, delivered)) in written.iter().enumerate() {
        let at = kept.iter().position(|(known, ..)| known == subject);
        let (_, mut entries, mut dropped) = match at {
            Some(at) => kept.remove(at),
            None => (*subject, Vec::new(), 0),
        };
        let replaces = *delivered && entries.last().is_some_and(|last| written[*last].1);
        if replaces {
            entries.pop();
        }
        entries.push(index);
        if entries.len() > bounds.subject_entries {
            entries.remove(0);
            dropped += 1;
        }
        kept.push((*subject, entries, dropped));
        while kept
            .iter()
            .map(|(_, entries, _)| entries.len())
            .sum::<usize>()
            > bounds.entries
        {
            kept.remove(0);
        }
    }
    kept.into_iter()
        .find(|(known, ..)| *known == wanted)
        .map(|(_, entries, dropped)| (entries, dropped))
        .unwrap_or_default()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(71),
        cases: 512,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_table_agrees_with_a_naive_journal(
        written in prop::collection::vec((0u8..6, any::<bool>()), 0..80),
        entries in 1usize..30,
        subject_entries in 1usize..8,
    ) {
        let bounds = JournalBounds {
            entries: entries.max(subject_entries),
            subject_entries,
        };
        let mut table = JournalTable::new(bounds);
        for (at_ms, (subject, delivered)) in (0..).zip(&written) {
            let event = match delivered {
                true => JournalEvent::Delivered { count: at_ms },
                false => retried(0),
            };
            table.record(entry(&format!("r-{subject}"), at_ms, event));
            prop_assert!(table.entry_count() <= bounds.entries);
        }
        for subject in 0..6 {
            let found = table.explain(&JournalSubject::from_text(&format!("r-{subject}")));
            let (indices, dropped) = naive_explain(&written, subject, bounds);
            let expected: Vec<_> = indices
                .iter()
                .map(|index| SystemTime::UNIX_EPOCH + Duration::from_millis(*index as u64))
                .collect();
            let times: Vec<_> = found.entries.iter().map(|entry| entry.at).collect();
            prop_assert_eq!(times, expected);
            prop_assert_eq!(found.dropped, dropped);
        }
    }
}
