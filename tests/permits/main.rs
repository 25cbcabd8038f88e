//! Tests the table of limits with responses that are received in any order.

use std::time::{Duration, Instant};

use http::HeaderMap;
use http::header::HeaderValue;
use jackdawwick::permits::{LimitChange, LimitObservation, LimitTable, RateLimit};
use jackdawwick::platform::names;
use jackdawwick::platform::number_header::{NumberHeader, parse_number_header};

const TARGET: u64 = 7;

fn rate(per_second: f64) -> RateLimit {
    RateLimit::new(per_second).expect("a valid rate")
}

/// Creates an observation of a response that was sent and received at these times, in
/// milliseconds.
fn response(start: Instant, per_second: Option<f64>, sent: u64, received: u64) -> LimitObservation {
    LimitObservation {
        rate: per_second.map(rate),
        sent: start + Duration::from_millis(sent),
        received: start + Duration::from_millis(received),
    }
}

fn headers(values: &[&str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_str(value).expect("a header value");
        headers.append("server-limit", value);
    }
    headers
}

#[test]
fn a_limit_is_one_decimal_number() {
    assert_eq!(
        parse_number_header(&headers(&[]), names::SERVER_LIMIT),
        NumberHeader::Absent
    );
    assert_eq!(
        parse_number_header(&headers(&[" 6.4 "]), names::SERVER_LIMIT),
        NumberHeader::Number(6.4)
    );
    assert_eq!(
        parse_number_header(&headers(&["0"]), names::SERVER_LIMIT),
        NumberHeader::Number(0.0)
    );
    assert_eq!(
        parse_number_header(&headers(&["1e9"]), names::SERVER_LIMIT),
        NumberHeader::Number(1e9)
    );
    for unreadable in [&[""][..], &["few"], &["6,4"], &["1", "2"]] {
        assert_eq!(
            parse_number_header(&headers(unreadable), names::SERVER_LIMIT),
            NumberHeader::Unreadable
        );
    }
}

#[test]
fn a_rate_is_finite_and_not_negative() {
    for unusable in [-1.0, f64::INFINITY, f64::NAN] {
        assert_eq!(RateLimit::new(unusable), None);
    }
    assert_eq!(rate(0.0).per_second(), 0.0);
}

#[test]
fn a_limit_is_named_changed_and_ended_by_later_responses() {
    let start = Instant::now();
    let mut table = LimitTable::default();
    assert_eq!(table.observe(TARGET, response(start, None, 0, 5)), None);
    let named = table.observe(TARGET, response(start, Some(6.0), 10, 20));
    assert_eq!(named, Some(LimitChange::Named(rate(6.0))));
    assert_eq!(
        table.observe(TARGET, response(start, Some(6.0), 15, 25)),
        None
    );
    let raised = table.observe(TARGET, response(start, Some(9.0), 30, 40));
    assert_eq!(raised, Some(LimitChange::Named(rate(9.0))));
    let ended = table.observe(TARGET, response(start, None, 50, 60));
    assert_eq!(ended, Some(LimitChange::Ended));
    assert_eq!(table.limit(TARGET), None);
}

/// Guards against a limit that is lifted by a response that was overtaken.
#[test]
fn a_response_that_may_be_older_does_not_lift_a_limit() {
    let start = Instant::now();
    let mut table = LimitTable::default();
    table.observe(TARGET, response(start, Some(6.0), 10, 20));
    assert_eq!(table.observe(TARGET, response(start, None, 15, 90)), None);
    assert_eq!(
        table.observe(TARGET, response(start, Some(9.0), 19, 90)),
        None
    );
    assert_eq!(table.limit(TARGET), Some(rate(6.0)));
    let lowered = table.observe(TARGET, response(start, Some(2.0), 0, 95));
    assert_eq!(lowered, Some(LimitChange::Named(rate(2.0))));
}

/// Guards against a limit that is restored by a response from before its end.
#[test]
fn a_response_from_before_the_end_of_a_limit_does_not_name_it_again() {
    let start = Instant::now();
    let mut table = LimitTable::default();
    table.observe(TARGET, response(start, Some(6.0), 0, 5));
    table.observe(TARGET, response(start, None, 50, 60));
    assert_eq!(
        table.observe(TARGET, response(start, Some(6.0), 10, 40)),
        None
    );
    assert_eq!(table.limit(TARGET), None);
}

#[test]
fn a_restarted_target_has_no_limit() {
    let start = Instant::now();
    let mut table = LimitTable::default();
    table.observe(TARGET, response(start, Some(6.0), 10, 20));
    assert_eq!(table.limit(TARGET + 1), None);
    table.forget(TARGET);
    assert_eq!(table.limit(TARGET), None);
}
