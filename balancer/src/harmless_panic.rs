//! Contains panics of the runtime that do no harm.
use std::cell::Cell;
use std::panic::{catch_unwind, set_hook, take_hook, AssertUnwindSafe};

thread_local! {
    /// Whether a panic on this thread is contained.
    static CATCHES_PANICS: Cell<bool> = const { Cell::new(false) };
}

/// Installs a panic hook that reports no panic within [`catch_harmless_panic`], and all others as before.
pub fn install_hook() {
    let report = take_hook();
    set_hook(Box::new(move |panic| {
        if !CATCHES_PANICS.get() {
            report(panic);
        }
    }));
}

/// Calls a function whose panic does no harm. Returns `None` if it panicked.
pub fn catch_harmless_panic<T>(call: impl FnOnce() -> T) -> Option<T> {
    let caught_before = CATCHES_PANICS.replace(true);
    let result = catch_unwind(AssertUnwindSafe(call));
    CATCHES_PANICS.set(caught_before);
    result.ok()
}

#[cfg(test)]
mod tests;
