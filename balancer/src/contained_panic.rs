//! Contains panics of the runtime that do no harm.
use std::cell::Cell;
use std::panic::{catch_unwind, set_hook, take_hook, AssertUnwindSafe};

thread_local! {
    /// Whether a panic on this thread is contained.
    static IS_CONTAINED: Cell<bool> = const { Cell::new(false) };
}

/// Installs a panic hook that reports no panic within [`contain`], and all others as before.
pub fn install_hook() {
    let report = take_hook();
    set_hook(Box::new(move |panic| {
        if !IS_CONTAINED.get() {
            report(panic);
        }
    }));
}

/// Calls a function whose panic does no harm. Returns `None` if it panicked.
pub fn contain<T>(call: impl FnOnce() -> T) -> Option<T> {
    let was_contained = IS_CONTAINED.replace(true);
    let result = catch_unwind(AssertUnwindSafe(call));
    IS_CONTAINED.set(was_contained);
    result.ok()
}

#[cfg(test)]
mod tests;
