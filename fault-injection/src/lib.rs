//! A library that makes system calls of one process fail, with probabilities from a control file.
//!
//! Loaded with `LD_PRELOAD`, it replaces the C library's wrappers of the calls in [`calls`]. Each replaced call either
//! fails in a way that Linux documents for it, or passes its arguments to the kernel unchanged. The monotonic clock is
//! never changed.
// The crate replaces functions of the C library, which takes raw pointers and exported symbols.
#![allow(unsafe_code)]
#![warn(unsafe_op_in_unsafe_fn)]
pub mod calls;
pub mod control;
mod descriptors;
mod errno;
mod fault;
mod signal_set;

/// Runs when the library is loaded, before the process's `main`.
#[used]
#[link_section = ".init_array"]
static INITIALIZER: extern "C" fn() = {
    extern "C" fn initialize() {
        control::map_control_file();
    }
    initialize
};
