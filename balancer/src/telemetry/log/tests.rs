//! The levels of structured events.
use super::*;

#[test]
fn levels_are_named_as_usual_and_others_are_told() {
    assert_eq!(parse("debug"), Ok(Level::DEBUG));
    assert_eq!(parse("INFO"), Ok(Level::INFO));
    let unknown = parse("loud").expect_err("no level").to_string();
    assert!(
        unknown.contains("NODE_LOG") && unknown.contains("loud"),
        "{unknown}"
    );
}
