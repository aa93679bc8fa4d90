//! Results and panics of calls whose panics are caught.
use super::*;

#[test]
fn returns_results_and_catches_panics_of_nested_calls() {
    let result = catch_harmless_panic(|| {
        let inner: Option<()> = catch_harmless_panic(|| panic!("a panic in a test"));
        assert!(inner.is_none() && CATCHES_PANICS.get());
        7
    });
    assert_eq!(result, Some(7));
    assert!(!CATCHES_PANICS.get());
}
