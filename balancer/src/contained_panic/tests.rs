//! Results and panics of contained calls.
use super::*;

#[test]
fn returns_results_and_contains_panics_of_nested_calls() {
    let result = contain(|| {
        let inner: Option<()> = contain(|| panic!("a panic in a test"));
        assert!(inner.is_none() && IS_CONTAINED.get());
        7
    });
    assert_eq!(result, Some(7));
    assert!(!IS_CONTAINED.get());
}
