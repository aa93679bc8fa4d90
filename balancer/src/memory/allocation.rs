//! The global allocator, which counts what is allocated and can return what is free to the system.
use cap::Cap;
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes that are allocated in this process now.
pub fn allocated_bytes() -> usize {
    ALLOCATOR.allocated()
}

/// Returns free memory to the system. The C library keeps what lies between allocated parts, which
/// may be half of its memory after a crowd of clients.
#[cfg(target_env = "gnu")]
pub fn return_free_memory() {
    // SAFETY: `malloc_trim` only releases pages that hold no allocated memory, under the locks of
    // the C library's allocator, which `System` uses.
    #[allow(unsafe_code)]
    unsafe {
        libc::malloc_trim(0);
    }
}

/// Returns free memory to the system; does nothing where the C library cannot.
#[cfg(not(target_env = "gnu"))]
pub fn return_free_memory() {}
