use super::*;

/// Guards against a queue that grows: where callers that asked once and stay take most places, a young newcomer
/// holds nobody up until it has aged.
#[test]
fn of_the_connections_that_rest_the_larger_group_makes_way() {
    let ms = |ms| Some(Duration::from_millis(ms));
    for (newcomer, kept, more_kept, wanted) in [
        (ms(1), ms(1900), true, Some(true)),
        (None, ms(1), true, Some(true)),
        (ms(1), ms(1900), false, None),
        (ms(6), ms(1900), false, Some(false)),
        (ms(40), ms(1900), true, Some(false)),
        (ms(40), ms(9000), true, Some(false)),
        (ms(1), ms(2100), false, Some(true)),
        (None, None, false, None),
    ] {
        let chosen = makes_way(newcomer, kept, more_kept);
        assert_eq!(chosen, wanted, "{newcomer:?} {kept:?} {more_kept}");
    }
}

#[test]
fn spans_have_a_number_and_a_unit() {
    assert_eq!(span("480m"), Some(480.0));
    assert_eq!(span("1500u"), Some(1.5));
    for bad in ["", "m", "480", "-3m", "1e9m", "NaNm", "infm", "4 m", "99999999999m"] {
        assert_eq!(span(bad), None, "{bad}");
    }
}
