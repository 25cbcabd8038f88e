//! Tests of the daemon's settings: defaults, every kind of mistake, and the sample file.

use std::time::Duration;

use jackdawwick::options::{
    DaemonOptions, DocumentedKey, LogFormat, SAMPLE_TOML, StartupAction, documented_keys,
    plan_startup,
};
use jackdawwick::routing::RoutePolicy;

const REQUIRED: &str = r#"
[host]
name = "a"
zone = "z"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
address = "127.0.0.1:9"
"#;

fn mistakes(extra: &str) -> String {
    let text = format!("{REQUIRED}{extra}");
    match DaemonOptions::from_toml(&text) {
        Ok(_) => panic!("accepted: {extra}"),
        Err(error) => error.to_string(),
    }
}

fn accepted(extra: &str) -> DaemonOptions {
    DaemonOptions::from_toml(&format!("{REQUIRED}{extra}")).expect("valid settings")
}

#[test]
fn required_keys_alone_give_the_documented_defaults() {
    let options = accepted("");
    assert_eq!(
        options.timing.heartbeat_interval,
        Duration::from_millis(500)
    );
    assert_eq!(
        options.timing.idempotency_window,
        Duration::from_secs(86_400)
    );
    assert_eq!(options.log.format, LogFormat::Text);
    let sample = DaemonOptions::from_toml(SAMPLE_TOML).expect("valid sample");
    assert_eq!(sample.timing, options.timing);
    assert_eq!(sample.limits, options.limits);
    assert_eq!(sample.retries, options.retries);
    assert_eq!(sample.routing, options.routing);
    assert_eq!(sample.log, options.log);
    assert_eq!(sample.host.worker_threads, options.host.worker_threads);
    assert_eq!(
        sample.platform.checkpoint_records,
        options.platform.checkpoint_records
    );
    assert_eq!(
        sample.platform.record_horizon,
        options.platform.record_horizon
    );
}

#[test]
fn sample_has_every_key_with_its_legal_range() {
    for DocumentedKey {
        section,
        key,
        legal,
    } in documented_keys()
    {
        let header = section.replace("[0]", "");
        let (_, after) = SAMPLE_TOML
            .split_once(&format!("[{header}]"))
            .unwrap_or_else(|| panic!("no section {header}"));
        let accepted_forms = [
            format!("# Legal: {legal}\n{key} = "),
            format!("# Legal: {legal}\n# {key} = "),
            format!("# Legal: {legal}\n[[{section}.{key}]]"),
        ];
        assert!(
            accepted_forms.iter().any(|text| after.contains(text)),
            "{section}.{key}: {legal}"
        );
    }
}

#[test]
fn every_mistake_is_reported_at_once() {
    let text = r#"
colour = "red"
[host]
name = ""
zones = "z"
seed = -1
worker_threads = "four"
[listen]
callers = "localhost:80"
operators = 8081
peers = "0.0.0.0:1"
[platform]
address = "127.0.0.1:0"
checkpoint_records = 9
[[peers.seeds]]
host = "b"
zone = "z"
port = 1
[peers.extra]
[operators]
credentials = ["x", { operator = "o", token_digest = "my secret token" }]
[timing]
heartbeat_interval = 500
peer_timeout = "2"
drain_timeout = "99h"
clock_rate_margin = nan
connect_timeout = "3s"
[retries]
budget_ratio = 2
[routing]
policy = "best"
[log]
level = "loud"
format = "xml"
"#;
    let error = DaemonOptions::from_toml(text).expect_err("many mistakes");
    insta::assert_snapshot!(error);
}

#[test]
fn a_section_that_is_not_a_table_is_reported() {
    let error = DaemonOptions::from_toml("timing = 3").expect_err("no table");
    let message = error.to_string();
    assert!(message.contains("timing: 3 is not allowed, expected a table"));
    assert!(message.contains("host.name: missing"));
}

#[test]
fn invalid_toml_reports_its_line() {
    let message = mistakes("token = secret");
    assert!(message.contains("line 11: not valid TOML: "), "{message}");
    assert!(!message.contains("secret"), "{message}");
}

#[test]
fn ends_of_a_range_are_legal_and_one_step_beyond_is_not() {
    accepted("[timing]\nlease_duration = \"200ms\"");
    accepted("[timing]\nlease_duration = \"5m\"");
    accepted("[retries]\nbudget_ratio = 1\nejection_max_fraction = 0.0");
    let options = accepted("[routing]\npolicy = \"least_outstanding\"");
    assert_eq!(options.routing.policy, RoutePolicy::LeastOutstanding);
    for beyond in ["199ms", "300001ms", "-1s", "", "5"] {
        let message = mistakes(&format!("[timing]\nlease_duration = \"{beyond}\""));
        assert!(
            message.starts_with("1 mistake:\n  timing.lease_duration: "),
            "{message}"
        );
    }
}

#[test]
fn durations_that_contradict_each_other_are_refused() {
    let message = mistakes(
        "[timing]\nheartbeat_interval = \"2s\"\nstep_timeout = \"100ms\"\n\
         default_deadline = \"1s\"",
    );
    insta::assert_snapshot!(message, @r#"
    3 mistakes:
      timing.peer_timeout: 2s is not allowed, expected at least twice timing.heartbeat_interval
      timing.connect_timeout: 300ms is not allowed, expected at most timing.step_timeout
      timing.claim_timeout: 2s is not allowed, expected at most timing.default_deadline
    "#);
}

#[test]
fn a_window_longer_than_the_log_keeps_records_is_refused() {
    let message = mistakes("[timing]\nidempotency_window = \"48h\"");
    insta::assert_snapshot!(message, @r#"
    1 mistake:
      platform.record_horizon: 3days is not allowed, expected more than 3days 1m 30s, for timing.idempotency_window and timing.clock_skew as they are
    "#);
    let settings = accepted("[timing]\nidempotency_window = \"47h\"");
    assert!(settings.claim_window().is_ok());
}

#[test]
fn listeners_share_no_address_and_an_unspecified_one_must_be_advertised() {
    let text = REQUIRED.replace("127.0.0.1:0", "0.0.0.0:80");
    let message = DaemonOptions::from_toml(&text)
        .expect_err("shared")
        .to_string();
    insta::assert_snapshot!(message, @r#"
    3 mistakes:
      listen.operators: 0.0.0.0:80 is not allowed, expected an address that no other listener has
      listen.peers: 0.0.0.0:80 is not allowed, expected an address that no other listener has
      listen.advertised_peers: missing, expected an address that peers can reach, because listen.peers names no single one
    "#);
}

#[test]
fn seeds_leave_out_this_host_and_name_each_other_host_once() {
    let seed = |host: &str| {
        format!("[[peers.seeds]]\nhost = \"{host}\"\nzone = \"z\"\naddress = \"[::1]:1\"\n")
    };
    let options = accepted(&(seed("a") + &seed("b")));
    let hosts = options.peers.seeds.iter().map(|seed| &*seed.host);
    assert_eq!(hosts.collect::<Vec<_>>(), ["b"]);
    let message = mistakes(&(seed("b") + &seed("b")));
    assert!(message.contains("peers.seeds: b is not allowed, expected each host once"));
}

#[test]
fn a_token_serves_one_operator_and_an_operator_may_have_two() {
    let credential = |operator: &str, digit: &str| {
        let digest = digit.repeat(64);
        format!(
            "[[operators.credentials]]\noperator = \"{operator}\"\ntoken_digest = \"{digest}\"\n"
        )
    };
    let options = accepted(&(credential("o", "a") + &credential("o", "B")));
    let digest = options.operators.credentials[1].token_digest;
    assert_eq!(digest.to_hex(), "b".repeat(64));
    let message = mistakes(&(credential("o", "a") + &credential("p", "A")));
    assert!(message.contains("operators.credentials: p is not allowed"));
}

#[test]
fn startup_runs_checks_prints_or_fails_with_status_two() {
    let folder = tempfile::tempdir().expect("folder");
    let good = folder.path().join("good.toml");
    let bad = folder.path().join("bad.toml");
    std::fs::write(&good, REQUIRED).expect("write");
    std::fs::write(&bad, "x = 1").expect("write");
    let plan = |arguments: &[&str]| plan_startup(["jackdawwickd"].iter().chain(arguments));
    let [good, bad] = [&good, &bad].map(|path| path.to_str().expect("text"));

    assert!(matches!(plan(&["--config", good]), StartupAction::Run(_)));
    assert!(matches!(
        plan(&["--check", "--config", good]),
        StartupAction::Print(_)
    ));
    assert_eq!(
        plan(&["--print-sample"]),
        StartupAction::Print(SAMPLE_TOML.to_owned())
    );
    assert!(matches!(plan(&["--help"]), StartupAction::Print(_)));
    for wrong in [
        &["--config", bad][..],
        &["--check", "--config", bad],
        &["--config", "/nowhere/at/all"],
        &["--check"],
        &["--frobnicate"],
        &[],
    ] {
        let action = plan(wrong);
        assert!(
            matches!(action, StartupAction::Fail { status: 2, .. }),
            "{wrong:?}"
        );
    }
}
