//! Writes to sockets, files, event descriptors and the log.
use crate::control::{should_inject, should_inject_if, Fault};
use crate::descriptors::{is_event_descriptor, is_file, is_local_socket, is_socket};
use crate::errno::{fail, fail_with_one_of};
use libc::{c_int, c_void, iovec, msghdr, size_t, ssize_t};

const LOG_ERRORS: [c_int; 2] = [libc::EIO, libc::EPIPE];

/// Decides whether a write to the log, an event descriptor or a socket pair fails. If so, sets `errno` and returns the
/// result of the failed write.
fn inject_write_failure(fd: c_int) -> Option<ssize_t> {
    if should_inject_if(Fault::FailedLogWrite, || fd == libc::STDERR_FILENO) {
        return Some(fail_with_one_of(&LOG_ERRORS));
    }
    let is_interrupted = should_inject_if(Fault::InterruptedEventWrite, || is_event_descriptor(fd))
        || should_inject_if(Fault::InterruptedPairWrite, || is_local_socket(fd));
    is_interrupted.then(|| fail(libc::EINTR))
}

/// `send(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(
    fd: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if should_inject(Fault::InterruptedWrite) {
        return fail(libc::EINTR);
    }
    if let Some(failure) = inject_write_failure(fd) {
        return failure;
    }
    let is_short = should_inject(Fault::ShortWrite);
    let length = if is_short { length.min(1) } else { length };
    let no_address = std::ptr::null::<c_void>();
    let address_length = 0;
    // SAFETY: the caller guarantees the contract of `send`, and the length has not grown.
    unsafe {
        libc::syscall(
            libc::SYS_sendto,
            fd,
            buffer,
            length,
            flags,
            no_address,
            address_length,
        ) as ssize_t
    }
}

/// `write(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    if should_inject(Fault::DiskWrite) && is_file(fd) {
        // Half of the data is written, because a failed write may have written a part.
        // SAFETY: the caller guarantees the contract of `write`, and the length has not grown.
        unsafe { libc::syscall(libc::SYS_write, fd, buffer, length / 2) };
        return fail_with_one_of(&[libc::ENOSPC, libc::EIO]);
    }
    if let Some(failure) = inject_write_failure(fd) {
        return failure;
    }
    let is_short = should_inject(Fault::ShortWrite) && is_socket(fd);
    let length = if is_short { length.min(1) } else { length };
    // SAFETY: the caller guarantees the contract of `write`, and the length has not grown.
    unsafe { libc::syscall(libc::SYS_write, fd, buffer, length) as ssize_t }
}

/// `writev(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, vectors: *const iovec, count: c_int) -> ssize_t {
    if should_inject(Fault::InterruptedWrite) && is_socket(fd) {
        return fail(libc::EINTR);
    }
    if let Some(failure) = inject_write_failure(fd) {
        return failure;
    }
    if should_inject(Fault::ShortWrite) && is_socket(fd) {
        // SAFETY: the caller guarantees that `vectors` points to `count` valid vectors.
        if let Some(written) = unsafe { write_one_byte(fd, vectors, count.max(0) as usize) } {
            return written;
        }
    }
    // SAFETY: the caller guarantees the contract of `writev`; the arguments are unchanged.
    unsafe { libc::syscall(libc::SYS_writev, fd, vectors, count) as ssize_t }
}

/// `sendmsg(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    if should_inject(Fault::InterruptedWrite) {
        return fail(libc::EINTR);
    }
    if let Some(failure) = inject_write_failure(fd) {
        return failure;
    }
    if should_inject(Fault::ShortWrite) {
        // SAFETY: the caller guarantees that `message` points to a valid message.
        let (vectors, count) = unsafe { ((*message).msg_iov, (*message).msg_iovlen) };
        // SAFETY: the caller guarantees that the vectors of the message are valid. The process sends neither
        // addresses nor control data.
        if let Some(written) = unsafe { write_one_byte(fd, vectors, count) } {
            return written;
        }
    }
    // SAFETY: the caller guarantees the contract of `sendmsg`; the arguments are unchanged.
    unsafe { libc::syscall(libc::SYS_sendmsg, fd, message, flags) as ssize_t }
}

/// Writes the first byte of these buffers. `None` if all are empty.
///
/// # Safety
/// `vectors` points to `count` valid vectors, each valid for its length.
unsafe fn write_one_byte(fd: c_int, vectors: *const iovec, count: usize) -> Option<ssize_t> {
    let first_vector = (0..count)
        // SAFETY: the caller guarantees that there are `count` vectors.
        .map(|index| unsafe { &*vectors.add(index) })
        .find(|vector| vector.iov_len > 0)?;
    let length: size_t = 1;
    // SAFETY: the caller guarantees that the buffer is valid for its length, which is at least one.
    let written = unsafe { libc::syscall(libc::SYS_write, fd, first_vector.iov_base, length) };
    Some(written as ssize_t)
}
