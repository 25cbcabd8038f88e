//! Tests of request outcomes that are parsed from log lines.

use standins::losses::{LossTally, RequestOutcome, parse_line};

fn line(second: u32, message: &str, more: &str) -> String {
    format!(
        r#"front-1 {{"time":"2026-01-01T00:00:{second:02}.250Z","level":"INFO","message":"{message}","request":"a"{more}}}"#
    )
}

#[test]
fn requests_are_counted_by_cause_and_second() {
    let lines = [
        line(3, "answered", r#","status":"200","late":"no""#),
        line(3, "answered", r#","status":"200","late":"pause""#),
        line(5, "answered", r#","status":"200","late":"pause""#),
        line(4, "answered", r#","status":"500","late":"no""#),
        line(4, "refused", r#","reason":"no_room""#),
        line(4, "stream cut", r#","reason":"silent""#),
        line(4, "routed", ""),
        "not a line of a host".to_owned(),
    ];
    let tally = LossTally::of(lines.iter().filter_map(|line| parse_line(line)));
    assert_eq!(tally.count_of(&RequestOutcome::Late("pause".to_owned())), 2);
    insta::assert_snapshot!(tally.to_string(), @r"
    cause                        all    0    1    2
    served                         1    1    .    .
    late: pause                    2    1    .    1
    failed: 500                    1    .    1    .
    refused: no_room               1    .    1    .
    cut: silent                    1    .    1    .
    ");
}
