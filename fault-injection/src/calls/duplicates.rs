//! Duplicating descriptors.
use crate::control::{should_inject, should_inject_if, Fault};
use crate::errno::fail;
use libc::{c_int, c_long};

/// `dup(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn dup(fd: c_int) -> c_int {
    if should_inject(Fault::Duplication) {
        return fail(libc::EMFILE);
    }
    // SAFETY: the call takes a number only.
    unsafe { libc::syscall(libc::SYS_dup, fd) as c_int }
}

/// `fcntl(2)`. Only a call that duplicates a descriptor can fail by injection. The optional argument is a number or a
/// pointer, which are passed alike.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn fcntl(fd: c_int, command: c_int, argument: c_long) -> c_int {
    if should_inject_if(Fault::Duplication, || is_duplication(command)) {
        return fail(libc::EMFILE);
    }
    // SAFETY: the caller guarantees the contract of `fcntl`; the arguments are unchanged.
    unsafe { libc::syscall(libc::SYS_fcntl, fd, command, argument) as c_int }
}

fn is_duplication(command: c_int) -> bool {
    matches!(command, libc::F_DUPFD | libc::F_DUPFD_CLOEXEC)
}
