//! Creating and setting timers that are read from descriptors.
use crate::control::{should_inject, Fault};
use crate::errno::{fail, fail_with_one_of, DESCRIPTOR_CREATION_ERRORS};
use libc::{c_int, clockid_t, itimerspec};

/// `timerfd_create(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn timerfd_create(clock: clockid_t, flags: c_int) -> c_int {
    if should_inject(Fault::TimerfdCreation) {
        return fail_with_one_of(&DESCRIPTOR_CREATION_ERRORS);
    }
    // SAFETY: the call takes numbers only.
    unsafe { libc::syscall(libc::SYS_timerfd_create, clock, flags) as c_int }
}

/// `timerfd_settime(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn timerfd_settime(
    fd: c_int,
    flags: c_int,
    new_value: *const itimerspec,
    old_value: *mut itimerspec,
) -> c_int {
    if should_inject(Fault::TimerfdSetting) {
        return fail(libc::EINVAL);
    }
    // SAFETY: the caller guarantees the contract of `timerfd_settime`; the arguments are unchanged.
    unsafe { libc::syscall(libc::SYS_timerfd_settime, fd, flags, new_value, old_value) as c_int }
}
