//! Catches panics of the runtime that do no harm, and keeps them out of the log.
use std::cell::Cell;
use std::panic::{catch_unwind, set_hook, take_hook, AssertUnwindSafe};

thread_local! {
    /// Whether panics on this thread are caught and not reported.
    static CATCHES_PANICS: Cell<bool> = const { Cell::new(false) };
}

/// Installs a panic hook that reports no panic within [`catch_harmless_panic`], and all others as
/// before.
pub fn install_hook() {
    let report = take_hook();
    set_hook(Box::new(move |panic| {
        if !CATCHES_PANICS.get() {
            report(panic);
        }
    }));
}

/// Calls a function and catches its panic, which is not reported. Only for functions whose panic
/// does no harm. Returns `None` if the function panicked.
pub fn catch_harmless_panic<T>(call: impl FnOnce() -> T) -> Option<T> {
    let caught_before = CATCHES_PANICS.replace(true);
    let result = catch_unwind(AssertUnwindSafe(call));
    CATCHES_PANICS.set(caught_before);
    result.ok()
}

#[cfg(test)]
mod tests;
