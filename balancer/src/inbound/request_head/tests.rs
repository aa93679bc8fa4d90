//! The syntax of time spans.
use super::*;

#[test]
fn parses_time_spans_of_a_number_and_a_unit() {
    assert_eq!(parse_time_span_ms("480m"), Some(480.0));
    assert_eq!(parse_time_span_ms("1500u"), Some(1.5));
    for malformed in [
        "",
        "m",
        "480",
        "-3m",
        "1e9m",
        "NaNm",
        "infm",
        "4 m",
        "99999999999m",
    ] {
        assert_eq!(parse_time_span_ms(malformed), None, "{malformed}");
    }
}
