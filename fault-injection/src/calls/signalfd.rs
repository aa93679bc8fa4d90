//! Creating descriptors from which signals are read.
use crate::control::{should_inject_if, Fault};
use crate::errno::{fail_with_one_of, DESCRIPTOR_CREATION_ERRORS};
use crate::signal_set::KERNEL_SIGNAL_SET_BYTES;
use libc::{c_int, sigset_t};

/// The descriptor argument of a call that creates a descriptor.
const NEW_DESCRIPTOR: c_int = -1;

/// `signalfd(2)`. Only a call that creates a descriptor can fail by injection.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn signalfd(fd: c_int, mask: *const sigset_t, flags: c_int) -> c_int {
    if should_inject_if(Fault::SignalfdCreation, || fd == NEW_DESCRIPTOR) {
        return fail_with_one_of(&DESCRIPTOR_CREATION_ERRORS);
    }
    // SAFETY: the caller guarantees that the set is valid; the C library's is larger than the kernel's.
    unsafe {
        libc::syscall(
            libc::SYS_signalfd4,
            fd,
            mask,
            KERNEL_SIGNAL_SET_BYTES,
            flags,
        ) as c_int
    }
}
