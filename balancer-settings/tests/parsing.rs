//! Which settings documents are accepted and rejected, and which key the error names.
use balancer_core::{DedupScope, Idempotency};
use balancer_settings::{parse_deployment, parse_settings};
use std::time::Duration;

const MINIMAL: &str = r#"{"balancers": 2, "index": 1, "membership_mode": "pushed", "novel": [1],
    "classes": [{"objective": 100, "deadline": 400, "effect": "guarded", "dedup_scope": "cell",
                 "repeat_window": 900}],
    "permissions": {"attempts_cap": 3},
    "invariants": {"fall": 1000, "cold_from": 0.2, "ramp_time": 9000, "tip_multiple": 3}}"#;

#[test]
fn applies_defaults_to_missing_optional_keys_and_skips_unknown_keys() {
    let settings = parse_settings(MINIMAL.as_bytes()).unwrap();
    assert_eq!(
        settings.classes[0].idempotency,
        Idempotency::IdempotencyKey {
            scope: DedupScope::Group,
            window: 900.0
        }
    );
    assert_eq!(settings.idle_close, 5000.0);
    assert_eq!(settings.poll_acknowledge_timeout, 10_000.0);
    assert_eq!(settings.tier, 0);
    assert!(!settings.poll_endpoints);
}

#[test]
fn converts_socket_timeouts_to_durations() {
    let deployment = parse_deployment(MINIMAL.as_bytes()).unwrap();
    assert_eq!(deployment.connect_timeout, Duration::from_millis(250));
    assert_eq!(deployment.drain_grace, Duration::from_millis(1000));
    assert_eq!(deployment.max_requests_in_flight, 20_000);
}

#[test]
fn error_names_missing_required_key_or_invalid_value() {
    let error = |from: &str, to: &str| {
        parse_settings(MINIMAL.replace(from, to).as_bytes())
            .unwrap_err()
            .to_string()
    };
    assert!(error("\"balancers\": 2, ", "").contains("balancers"));
    assert!(error("\"tip_multiple\": 3", "\"x\": 1").contains("tip_multiple"));
    assert!(error("guarded", "sometimes").contains("sometimes"));
    assert!(error("pushed", "shouted").contains("shouted"));
    assert!(error("\"balancers\": 2", "\"balancers\": 0").contains("balancers"));
    assert!(error("\"ramp_time\": 9000", "\"ramp_time\": \"x\"")
        .contains("invariants.ramp_time: invalid type"));
    assert!(error("\"objective\": 100", "\"objective\": []").contains("classes[0].objective"));
    assert!(error("\"effect\"", "\"runs_in\": [], \"effect\"").contains("classes.runs_in"));
    assert!(parse_settings(b"{").is_err());
    assert!(
        parse_settings(format!("{MINIMAL} x").as_bytes()).is_err(),
        "text after the document was accepted"
    );
}

#[test]
fn error_text_uses_the_keys_of_the_document() {
    let error = |from: &str, to: &str| {
        parse_settings(MINIMAL.replace(from, to).as_bytes())
            .unwrap_err()
            .to_string()
    };
    let cases = [
        (
            "pushed",
            "shouted",
            "membership_mode: unknown mode \"shouted\"",
        ),
        (
            "guarded",
            "sometimes",
            "classes.effect: unknown effect \"sometimes\"",
        ),
        (
            "\"cell\"",
            "\"street\"",
            "classes.dedup_scope: unknown scope \"street\"",
        ),
        (
            "\"attempts_cap\": 3",
            "\"attempts_cap\": 3, \"dial_timeout\": -1",
            "permissions.dial_timeout: must be a time from 0 to 1e9 ms",
        ),
        (
            "\"cold_from\": 0.2",
            "\"cold_from\": 2",
            "cold_from must be between 0 and 1",
        ),
    ];
    for (from, to, text) in cases {
        assert_eq!(error(from, to), text);
    }
}
