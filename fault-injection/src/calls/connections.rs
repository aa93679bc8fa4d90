//! Opening and accepting connections.
use crate::control::{should_inject, Fault};
use crate::descriptors::{record_accepted, record_outgoing};
use crate::errno::fail_with_one_of;
use libc::{c_int, sockaddr, socklen_t};

const ACCEPT_ERRORS: [c_int; 6] = [
    libc::ECONNABORTED,
    libc::ENFILE,
    libc::EMFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
    libc::EINTR,
];
const CONNECT_ERRORS: [c_int; 4] = [
    libc::EADDRNOTAVAIL,
    libc::ENETUNREACH,
    libc::ENOBUFS,
    libc::EAGAIN,
];
const SOCKET_ERRORS: [c_int; 4] = [libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM];

/// `accept4(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if should_inject(Fault::Accept) {
        return fail_with_one_of(&ACCEPT_ERRORS);
    }
    // SAFETY: the caller guarantees the contract of `accept4`; the arguments are unchanged.
    let accepted = unsafe { libc::syscall(libc::SYS_accept4, fd, address, length, flags) as c_int };
    record_accepted(accepted);
    accepted
}

/// `connect(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if should_inject(Fault::Connect) {
        return fail_with_one_of(&CONNECT_ERRORS);
    }
    record_outgoing(fd);
    // SAFETY: the caller guarantees the contract of `connect`; the arguments are unchanged.
    unsafe { libc::syscall(libc::SYS_connect, fd, address, length) as c_int }
}

/// `socket(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if should_inject(Fault::Socket) {
        return fail_with_one_of(&SOCKET_ERRORS);
    }
    // SAFETY: the call takes numbers only.
    unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int }
}
