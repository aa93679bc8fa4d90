//! A library that makes system calls of a process fail, with probabilities from a control file.
//!
//! It is loaded with `LD_PRELOAD`. The functions in [`calls`] replace those of the same names in the C library. Each
//! either fails in a way that Linux documents for it, or passes its arguments to the kernel unchanged, except for reads
//! and writes that it shortens. The wall clock can be shifted; the monotonic clock is never changed.
// Replacing functions of the C library requires raw pointers and exported symbols.
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
        control::initialize();
    }
    initialize
};
