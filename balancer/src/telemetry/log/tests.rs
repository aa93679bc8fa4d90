//! The levels of structured events.
use super::*;

#[test]
fn parses_the_usual_levels_and_reports_others() {
    assert_eq!(parse_level("debug"), Ok(Level::DEBUG));
    assert_eq!(parse_level("INFO"), Ok(Level::INFO));
    let unknown = parse_level("loud").expect_err("no level").to_string();
    assert!(
        unknown.contains("NODE_LOG") && unknown.contains("loud"),
        "{unknown}"
    );
}
