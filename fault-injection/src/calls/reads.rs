//! Reads from sockets, files and event descriptors.
use crate::control::{should_inject, should_inject_if, Fault};
use crate::descriptors::{
    is_event_descriptor, is_file, is_local_socket, is_outgoing_connection, is_socket,
};
use crate::errno::{fail, fail_with_one_of};
use libc::{c_int, c_void, iovec, size_t, ssize_t};

/// Decides whether a read from a socket fails. If so, sets `errno` and returns the result of the failed read.
fn inject_socket_read_failure(fd: c_int) -> Option<ssize_t> {
    if should_inject(Fault::InterruptedRead) {
        return Some(fail(libc::EINTR));
    }
    if should_inject_if(Fault::InterruptedPairRead, || is_local_socket(fd)) {
        return Some(fail(libc::EINTR));
    }
    // Only connections that the process opened break, such as those to upstreams: a client whose connection breaks
    // could not see its response, while a test can check the retry after a broken upstream connection.
    if is_outgoing_connection(fd) && should_inject(Fault::BrokenRead) {
        return Some(fail_with_one_of(&[libc::ETIMEDOUT, libc::EHOSTUNREACH]));
    }
    None
}

/// `recv(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(
    fd: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let is_peek = flags & libc::MSG_PEEK != 0;
    if is_peek && should_inject(Fault::InterruptedRead) {
        return fail(libc::EINTR);
    }
    if !is_peek {
        if let Some(failure) = inject_socket_read_failure(fd) {
            return failure;
        }
    }
    let is_short = !is_peek && should_inject(Fault::ShortRead);
    let length = if is_short { length.min(1) } else { length };
    let no_address = std::ptr::null_mut::<c_void>();
    let no_length = std::ptr::null_mut::<c_void>();
    // SAFETY: the caller guarantees the contract of `recv`, and the length has not grown.
    unsafe {
        libc::syscall(
            libc::SYS_recvfrom,
            fd,
            buffer,
            length,
            flags,
            no_address,
            no_length,
        ) as ssize_t
    }
}

/// `read(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    if should_inject(Fault::DiskRead) && is_file(fd) {
        return fail(libc::EIO);
    }
    if should_inject_if(Fault::InterruptedEventRead, || is_event_descriptor(fd)) {
        return fail(libc::EINTR);
    }
    if should_inject_if(Fault::FailedEventRead, || is_event_descriptor(fd)) {
        return fail(libc::EIO);
    }
    if should_inject_if(Fault::InterruptedPairRead, || is_local_socket(fd)) {
        return fail(libc::EINTR);
    }
    let is_short = should_inject(Fault::ShortRead) && is_socket(fd);
    let length = if is_short { length.min(1) } else { length };
    // SAFETY: the caller guarantees the contract of `read`, and the length has not grown.
    unsafe { libc::syscall(libc::SYS_read, fd, buffer, length) as ssize_t }
}

/// `readv(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn readv(fd: c_int, vectors: *const iovec, count: c_int) -> ssize_t {
    if should_inject(Fault::InterruptedRead) && is_socket(fd) {
        return fail(libc::EINTR);
    }
    // SAFETY: the caller guarantees the contract of `readv`; the arguments are unchanged.
    unsafe { libc::syscall(libc::SYS_readv, fd, vectors, count) as ssize_t }
}
