//! Parsing of configurations, and errors that name the field that is wrong.
use super::*;
use std::time::Duration;

const VALID_CONFIG: &str = r#"{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:9",
    "seed":"8c1f30d27a5be964","limits":{"sockets":1024},
    "known":{"version":4,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:10","zone":"a","kind":"m2",
        "cell":3,"state":"active","weight":1.0,"started_ms":0}]},
    "settings":{"balancers":2,"index":1,"membership_mode":"on_request","dcs":["a"],"kinds":["m1","m2"],
        "classes":[{"name":"read","objective":100,"deadline":400,"effect":"free"}],
        "permissions":{"attempts_cap":3},
        "invariants":{"cold_from":0.2,"ramp_time":9000,"tip_multiple":3,"fall":1000}}}"#;

#[test]
fn parses_complete_configuration() {
    let config = Config::parse(VALID_CONFIG.as_bytes()).unwrap();
    assert_eq!(
        (
            config.seed,
            config.max_descriptors,
            config.deployment.connect_timeout
        ),
        (0x8c1f_30d2_7a5b_e964, 1024, Duration::from_millis(250))
    );
    let endpoints: Vec<_> = config
        .cached_snapshot
        .iter()
        .flatten()
        .flat_map(EndpointUpdate::core_endpoints)
        .collect();
    assert_eq!(
        (endpoints.len(), endpoints[0].kind, endpoints[0].group),
        (1, 1, 3)
    );
}

#[test]
fn reads_the_limit_of_memory() {
    let max_memory_bytes = |limits: &str| {
        let config = VALID_CONFIG.replace("\"sockets\":1024", limits);
        Config::parse(config.as_bytes()).unwrap().max_memory_bytes
    };
    assert_eq!(max_memory_bytes("\"sockets\":1024"), None);
    assert_eq!(max_memory_bytes("\"memory_mb\":48"), Some(48 << 20));
}

#[test]
fn error_names_the_field_that_is_wrong() {
    let error = |from: &str, to: &str| {
        Config::parse(VALID_CONFIG.replace(from, to).as_bytes())
            .err()
            .unwrap()
            .to_string()
    };
    assert!(error("\"seed\":\"8c1f30d27a5be964\",", "").contains("seed"));
    assert!(error("8c1f30d27a5be964", "xyz").starts_with("seed"));
    assert!(error("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\"").starts_with("listen"));
    assert!(error("\"listen\"", "\"ops\":\"admin\",\"listen\"").starts_with("ops"));
    assert!(error("\"sockets\":1024", "\"sockets\":3").starts_with("limits.sockets"));
    assert!(error("\"objective\":100", "\"objective\":\"x\"").contains("classes[0].objective"));
    assert!(error("\"name\":\"read\",", "").contains("settings.classes[0].name"));
    assert!(Config::parse(b"{").is_err());
}

#[test]
fn malformed_cached_snapshot_is_reported_without_rejecting_configuration() {
    let odd = Config::parse(
        VALID_CONFIG
            .replace("\"state\":\"active\"", "\"state\":\"odd\"")
            .as_bytes(),
    )
    .unwrap();
    assert!(odd.cached_snapshot.unwrap_err().to_string().contains("odd"));
    let none = Config::parse(VALID_CONFIG.replace("\"known\":", "\"other\":").as_bytes()).unwrap();
    assert!(none.cached_snapshot.unwrap().is_none());
}
