//! Creating pipes and pairs of sockets.
use crate::control::{should_inject, Fault};
use crate::errno::{fail_with_one_of, PAIR_CREATION_ERRORS};
use libc::c_int;

/// `pipe(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn pipe(fds: *mut c_int) -> c_int {
    let no_flags = 0;
    // SAFETY: the caller guarantees the contract of `pipe`, which is that of `pipe2` without flags.
    unsafe { pipe2(fds, no_flags) }
}

/// `pipe2(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn pipe2(fds: *mut c_int, flags: c_int) -> c_int {
    if should_inject(Fault::PipeCreation) {
        return fail_with_one_of(&PAIR_CREATION_ERRORS);
    }
    // SAFETY: the caller guarantees the contract of `pipe2`; the arguments are unchanged.
    unsafe { libc::syscall(libc::SYS_pipe2, fds, flags) as c_int }
}

/// `socketpair(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socketpair(
    domain: c_int,
    kind: c_int,
    protocol: c_int,
    fds: *mut c_int,
) -> c_int {
    if should_inject(Fault::SocketpairCreation) {
        return fail_with_one_of(&PAIR_CREATION_ERRORS);
    }
    // SAFETY: the caller guarantees the contract of `socketpair`; the arguments are unchanged.
    unsafe { libc::syscall(libc::SYS_socketpair, domain, kind, protocol, fds) as c_int }
}
