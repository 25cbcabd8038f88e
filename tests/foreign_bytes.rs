//! Bytes of other writers: every decoder ends without a panic, and refuses what is no entry.

use std::time::SystemTime;

use http::{HeaderMap, HeaderName, HeaderValue};
use jackdawwick::platform::configuration_record::parse_configuration;
use jackdawwick::platform::host_settings::parse_settings;
use jackdawwick::platform::names;
use jackdawwick::platform::order;
use jackdawwick::platform::poison_record::{parse_key, parse_poison};
use jackdawwick::platform::prompt_parts::parse_shared_parts;
use jackdawwick::platform::target_notice::parse_notice;
use jackdawwick::platform::target_record::{parse_report, parse_target};
use proptest::prelude::*;
use serde_json::{Value, json};

/// Levels of nesting that overflow the stack of a recursive decoder.
const DEEP: usize = 100_000;

fn heartbeat() -> Value {
    json!({
        "service": "s", "address": "10.0.0.1:80", "zone": "z", "state": "ready", "kind": "fast",
        "version": "v", "slots": 4, "cold_remaining_ms": 0, "sequence": 1, "born": 100,
        "layers": {"from": 0, "to": 8}, "models": [{"layers": {"from": 0, "to": 8}}]
    })
}

fn report() -> Value {
    json!({
        "busy": false, "sequence": 2, "running": 1, "queue_depth": 0, "kv_used": 1.0,
        "kv_total": 5.0, "pace": 1.5, "layers": {"from": 0, "to": 8}, "models": [],
        "stalled": [{"id": "r", "address": "10.0.0.1:80"}], "born": 100
    })
}

fn configuration() -> Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "r", "host": "h", "path_prefix": "/", "kind": "safe", "timeout_ms": 1000,
            "target_latency_ms": 100, "gap_aim_ms": 50, "priority": 1, "max_attempts": 2,
            "traffic_split": [{"service": "s", "weight": 0.5}]
        }],
        "services": [{
            "name": "s", "health_path": "/health",
            "engine": {
                "slots": 4, "layers": 8, "layer_mb": 10, "kv_token_bytes": 1, "step_ms": 1,
                "per_seq_ms": 1, "context_per_k": 1, "read_per_s": 1, "stride": 1,
                "usual": {"prompt": 10, "answer": 10},
                "kind_list": [{"name": "fast", "mb": 100, "pace": 1, "read_x": 1}]
            }
        }],
        "limits": {
            "max_header_bytes": 1000, "max_body_bytes": 1000, "idle_timeout_ms": 1000
        },
        "tenants": [{"name": "t", "api_keys": ["k"], "priority": 1}]
    })
}

/// Returns the text of a value whose field holds `content`, which need not be valid.
fn with_field(value: &Value, field: &str, content: &str) -> Vec<u8> {
    let mut fields = value.as_object().expect("an object").clone();
    fields.remove(field);
    let rest = Value::Object(fields).to_string();
    let rest = rest.strip_prefix('{').expect("an object");
    format!("{{\"{field}\":{content},{rest}").into_bytes()
}

fn nested(is_closed: bool) -> String {
    let close = if is_closed { "]" } else { "" };
    format!("{}{}", "[".repeat(DEEP), close.repeat(DEEP))
}

/// Passes bytes to every decoder of foreign bytes.
fn decode_all(bytes: &[u8]) {
    let _ = parse_target("i-1", bytes);
    let _ = parse_report(bytes);
    let _ = parse_configuration(bytes);
    let _ = parse_poison(1, bytes, SystemTime::UNIX_EPOCH);
    let _ = parse_poison(1, bytes, SystemTime::now());
    let _ = order::refusing_engine(bytes);
    let text = String::from_utf8_lossy(bytes);
    let _ = order::path_addresses(&text);
    let _ = parse_settings(&text);
    let _ = parse_key(&text);
    let _ = parse_target(&text, heartbeat().to_string().as_bytes());
    let mut headers = HeaderMap::new();
    for name in [
        names::PROMPT_PREFIX,
        names::SERVER_LIMIT,
        names::AT_SERVER,
        "retry-after",
    ] {
        let name = HeaderName::try_from(name).expect("a header");
        if let Ok(value) = HeaderValue::from_bytes(bytes) {
            headers.insert(name, value);
        }
    }
    let _ = parse_notice(&headers);
    let _ = parse_shared_parts(&headers);
}

/// Guards against entries that pass for sound and name no engine, or hide the later ones of theirs.
#[test]
fn an_entry_with_values_that_no_target_has_is_refused() {
    let odd = [
        ("address", r#""10.0.0.1:0""#),
        ("address", r#""10.0.0.1:70000""#),
        ("address", r#""0.0.0.0:80""#),
        ("address", r#""224.0.0.1:80""#),
        ("address", r#""255.255.255.255:80""#),
        ("address", r#""[::]:80""#),
        ("sequence", "18446744073709551615"),
        ("sequence", "18446744073709551616"),
        ("sequence", "1e400"),
        ("sequence", "-1"),
        ("sequence", "1.5"),
        ("born", "18446744073709551615"),
        ("born", "253402300800000"),
        ("layers", r#"{"from":0,"to":4294967295}"#),
        ("layers", r#"{"from":0,"to":4097}"#),
        ("cold_remaining_ms", "1e400"),
    ];
    for (field, content) in odd {
        let bytes = with_field(&heartbeat(), field, content);
        let parsed = parse_target("i-1", &bytes);
        assert!(parsed.is_err(), "{field} {content}: {parsed:?}");
    }
    let whole = heartbeat().to_string();
    let ids = ["", "a b", "a\nb", "a@b", "\u{fffd}", &"a".repeat(255)];
    for id in ids {
        let parsed = parse_target(id, whole.as_bytes());
        assert!(parsed.is_err(), "{id:?}: {parsed:?}");
    }
    assert!(parse_target("i-1", whole.as_bytes()).is_ok());
}

/// Guards against loads and costs that an engine of a wrong pace or memory would distort.
#[test]
fn a_report_with_values_that_no_engine_has_is_refused() {
    let odd = [
        ("pace", "0"),
        ("pace", "-1"),
        ("pace", "1e308"),
        ("pace", "1e400"),
        ("kv_used", "-1"),
        ("kv_total", "-0.5"),
        ("running", "4294967296"),
        ("layers", r#"{"from":0,"to":4294967295}"#),
        ("born", "18446744073709551615"),
    ];
    for (field, content) in odd {
        let parsed = parse_report(&with_field(&report(), field, content));
        assert!(parsed.is_err(), "{field} {content}: {parsed:?}");
    }
    assert!(parse_report(report().to_string().as_bytes()).is_ok());
}

/// Guards against an engine that seems to hold a whole model whose layers it does not know.
#[test]
fn layers_beyond_the_model_are_not_held() {
    let whole = heartbeat().to_string();
    let entry = parse_target("i-1", whole.as_bytes())
        .expect("an entry")
        .entry;
    assert!(entry.layers_of(8).is_some());
    assert!(entry.layers_of(7).is_none());
}

/// Guards against a stack that overflows, which ends the process.
#[test]
fn deeply_nested_values_end_no_decoder() {
    for is_closed in [true, false] {
        let deep = nested(is_closed);
        decode_all(deep.as_bytes());
        let documents = [
            (heartbeat(), ["unknown", "models", "layers", "address"]),
            (report(), ["unknown", "models", "layers", "stalled"]),
            (
                configuration(),
                ["unknown", "routes", "services", "tenants"],
            ),
            (json!({"ends": []}), ["unknown", "ends", "target", "at_ms"]),
        ];
        for (document, fields) in documents {
            for field in fields {
                decode_all(&with_field(&document, field, &deep));
            }
        }
    }
}

/// Guards against a table with a row for each of four thousand million layers.
#[test]
fn a_configuration_with_a_model_of_too_many_layers_is_refused() {
    let mut odd = configuration();
    odd["services"][0]["engine"]["layers"] = u32::MAX.into();
    assert!(parse_configuration(odd.to_string().as_bytes()).is_err());
    assert!(parse_configuration(configuration().to_string().as_bytes()).is_ok());
}

/// Content that no field expects.
fn odd_content() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        Just(json!([])),
        Just(json!({})),
        Just(json!([[[[[[]]]]]])),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        Just(json!(u64::MAX)),
        Just(json!(1e308)),
        Just(json!(-1e308)),
        Just(json!(5e-324)),
        ".{0,40}".prop_map(Value::from),
    ]
}

/// Replaces the part of a document that `path` leads to.
fn replace(document: &mut Value, path: &[usize], content: Value) {
    let Some((step, rest)) = path.split_first() else {
        *document = content;
        return;
    };
    let inner = match document {
        Value::Object(fields) if !fields.is_empty() => {
            let index = step % fields.len();
            fields.values_mut().nth(index)
        }
        Value::Array(items) if !items.is_empty() => {
            let index = step % items.len();
            items.get_mut(index)
        }
        _ => None,
    };
    match inner {
        Some(inner) => replace(inner, rest, content),
        None => *document = content,
    }
}

proptest! {
    /// Guards against any bytes that end the process.
    #[test]
    fn any_bytes_end_no_decoder(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        decode_all(&bytes);
    }

    /// Guards against any odd value within an otherwise sound document that ends the process.
    #[test]
    fn documents_with_odd_parts_end_no_decoder(
        document in 0..3_usize,
        parts in prop::collection::vec(
            (prop::collection::vec(0..12_usize, 1..5), odd_content()),
            1..4,
        ),
        cut in prop::option::of(0..600_usize),
    ) {
        let mut document = [heartbeat(), report(), configuration()][document].clone();
        for (path, content) in parts {
            replace(&mut document, &path, content);
        }
        let mut bytes = document.to_string().into_bytes();
        bytes.truncate(cut.unwrap_or(usize::MAX));
        decode_all(&bytes);
    }
}
