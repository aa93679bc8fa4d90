//! Creating eventfd descriptors.
use crate::control::{should_inject, Fault};
use crate::errno::{fail_with_one_of, DESCRIPTOR_CREATION_ERRORS};
use libc::{c_int, c_uint};

/// `eventfd(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn eventfd(initial: c_uint, flags: c_int) -> c_int {
    if should_inject(Fault::EventfdCreation) {
        return fail_with_one_of(&DESCRIPTOR_CREATION_ERRORS);
    }
    // SAFETY: the call takes numbers only.
    unsafe { libc::syscall(libc::SYS_eventfd2, initial, flags) as c_int }
}
