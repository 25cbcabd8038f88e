//! The settings file of an entry host.

use std::time::Duration;

use jackdawwick::entry::EntrySettings;
use jackdawwick::platform::host_settings::{SettingsError, parse_settings};
use serde_json::{Value, json};

fn settings() -> Value {
    json!({
        "node": "front-a-1", "zone": "a",
        "listen": {"front": "10.0.0.1:8227", "ready": "10.0.0.1:8220", "control": "10.0.0.1:8229"},
        "internal_ports": [7340, 7355], "seeds": ["10.0.0.2:8229"], "heartbeat_ms": 1200,
        "bounds": {
            "drain_ms": 2000, "grace_s": 8, "stall_ms": 2000, "retry_budget_ratio": 0.2,
            "budget_window_s": 10, "budget_slack": 200
        },
        "provider": {"address": "10.0.0.9:8223"},
        "limits": {"memory_mb": 260, "max_fds": 4100}
    })
}

fn parse(settings: &Value) -> Result<EntrySettings, SettingsError> {
    parse_settings(&settings.to_string())
}

/// Guards against hosts that do not start: a bound in their settings is a fraction.
#[test]
fn bounds_may_be_fractions() {
    let bounds = |settings: &Value| parse(settings).expect("usable settings").bounds;
    let whole = bounds(&settings());
    let mut fractions = settings();
    for (key, value) in [
        ("drain_ms", 2000.5),
        ("grace_s", 8.25),
        ("stall_ms", 2000.0),
    ] {
        fractions["bounds"][key] = value.into();
    }
    fractions["heartbeat_ms"] = 1200.5.into();
    let parsed = bounds(&fractions);
    assert_eq!(parsed.drain, Duration::from_micros(2_000_500));
    assert_eq!(parsed.grace, Duration::from_millis(8_250));
    assert_eq!(parsed.stall, whole.stall);
    assert_eq!(parsed.retries, whole.retries);
    let heartbeat = parse(&fractions).expect("usable settings").heartbeat;
    assert_eq!(heartbeat, Duration::from_micros(1_200_500));
}

#[test]
fn unusable_bounds_are_named() {
    for value in [json!(-1), json!(1e300), json!("soon"), json!(true)] {
        let mut wrong = settings();
        wrong["bounds"]["drain_ms"] = value.clone();
        let error = parse(&wrong).expect_err("an error").to_string();
        assert!(error.contains("bounds.drain_ms"), "{value}: {error}");
    }
}

/// Guards against a change of the settings that a running host neither applies nor reports.
#[test]
fn changes_that_wait_for_the_next_start_are_named() {
    let before = parse(&settings()).expect("usable settings");
    let mut changed = settings();
    changed["seeds"] = json!(["10.0.0.3:8229"]);
    let next = parse(&changed).expect("usable settings");
    assert_eq!(before.fixed_keys_changed(&next), Vec::<&str>::new());
    changed["provider"]["address"] = json!("10.0.0.8:8223");
    changed["bounds"]["grace_s"] = json!(9);
    let next = parse(&changed).expect("usable settings");
    assert_eq!(before.fixed_keys_changed(&next), ["provider", "bounds"]);
}
