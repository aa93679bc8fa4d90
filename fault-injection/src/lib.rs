//! Makes system calls of the process that it is preloaded into fail, as likely as a control file says.
//!
//! Loaded with `LD_PRELOAD`, it stands before the C library's wrappers of reads, writes, waits, `accept`, `connect`,
//! `socket`, calls on files and the wall clock. Each call either fails in a way that Linux documents for it or goes on to
//! the system unchanged. The monotonic clock is never touched.
// Replacing the C library's functions is what this crate is for.
#![allow(unsafe_code)]
pub mod control;

use control::{clock_offset_ms, random, strikes, Fault};
use libc::{
    c_char, c_int, c_uint, c_void, iovec, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec,
};
use std::sync::atomic::{AtomicU64, Ordering};

#[used]
#[link_section = ".init_array"]
static LOADED: extern "C" fn() = {
    extern "C" fn loaded() {
        control::map();
    }
    loaded
};

const MILLIS_PER_SECOND: i64 = 1000;
const NANOS_PER_MILLI: i64 = 1_000_000;

fn fail<T: From<i8>>(errno: c_int) -> T {
    // SAFETY: the C library's own thread-local.
    unsafe { *libc::__errno_location() = errno };
    T::from(-1)
}

fn one_of(errors: &[c_int]) -> c_int {
    errors[(random() >> 16) as usize % errors.len()]
}

/// Whether a descriptor is of this kind, one of `S_IFMT`.
fn is_of_kind(fd: c_int, kind: mode_t) -> bool {
    // SAFETY: `fstat` fills the struct, whose bytes may all be zero.
    unsafe {
        let mut stat: libc::stat = std::mem::zeroed();
        libc::syscall(libc::SYS_fstat, fd, &mut stat) == 0 && stat.st_mode & libc::S_IFMT == kind
    }
}

fn is_file(fd: c_int) -> bool {
    fd > libc::STDERR_FILENO && is_of_kind(fd, libc::S_IFREG)
}

fn is_socket(fd: c_int) -> bool {
    is_of_kind(fd, libc::S_IFSOCK)
}

/// Descriptors below this are told apart by who opened their connection.
const TRACKED: usize = 1024;
const BITS: usize = 64;
static OPENED_HERE: [AtomicU64; TRACKED / BITS] = [const { AtomicU64::new(0) }; TRACKED / BITS];

/// Records whether this process opened the connection of a descriptor, or accepted it.
fn record_opened(fd: c_int, here: bool) {
    let Some(word) = usize::try_from(fd)
        .ok()
        .and_then(|fd| OPENED_HERE.get(fd / BITS))
    else {
        return;
    };
    let bit = 1 << (fd as usize % BITS);
    if here {
        word.fetch_or(bit, Ordering::Relaxed);
    } else {
        word.fetch_and(!bit, Ordering::Relaxed);
    }
}

fn is_opened_here(fd: c_int) -> bool {
    let word = usize::try_from(fd)
        .ok()
        .and_then(|fd| OPENED_HERE.get(fd / BITS));
    word.is_some_and(|word| word.load(Ordering::Relaxed) & (1 << (fd as usize % BITS)) != 0)
}

fn failing_read<T: From<i8>>(fd: c_int) -> Option<T> {
    if strikes(Fault::InterruptedRead) {
        return Some(fail(libc::EINTR));
    }
    // A client whose connection is broken could not be answered; an upstream's can be told from outside.
    (is_opened_here(fd) && strikes(Fault::BrokenRead))
        .then(|| fail(one_of(&[libc::ETIMEDOUT, libc::EHOSTUNREACH])))
}

/// `recv(2)`.
///
/// # Safety
/// As of the C library.
#[no_mangle]
pub unsafe extern "C" fn recv(
    fd: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let peeks = flags & libc::MSG_PEEK != 0;
    if peeks && strikes(Fault::InterruptedRead) {
        return fail(libc::EINTR);
    }
    if !peeks {
        if let Some(failed) = failing_read(fd) {
            return failed;
        }
    }
    let length = if !peeks && strikes(Fault::ShortRead) {
        length.min(1)
    } else {
        length
    };
    let none = std::ptr::null_mut::<c_void>();
    libc::syscall(libc::SYS_recvfrom, fd, buffer, length, flags, none, none) as ssize_t
}

/// `read(2)`.
///
/// # Safety
/// As of the C library.
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    if strikes(Fault::DiskRead) && is_file(fd) {
        return fail(libc::EIO);
    }
    let short = strikes(Fault::ShortRead) && is_socket(fd);
    let length = if short { length.min(1) } else { length };
    libc::syscall(libc::SYS_read, fd, buffer, length) as ssize_t
}

/// `readv(2)`.
///
/// # Safety
/// As of the C library.
#[no_mangle]
pub unsafe extern "C" fn readv(fd: c_int, vectors: *const iovec, count: c_int) -> ssize_t {
    if strikes(Fault::InterruptedRead) && is_socket(fd) {
        return fail(libc::EINTR);
    }
    libc::syscall(libc::SYS_readv, fd, vectors, count) as ssize_t
}

/// `send(2)`.
///
/// # Safety
/// As of the C library.
#[no_mangle]
pub unsafe extern "C" fn send(
    fd: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if strikes(Fault::InterruptedWrite) {
        return fail(libc::EINTR);
    }
    let length = if strikes(Fault::ShortWrite) {
        length.min(1)
    } else {
        length
    };
    let none = std::ptr::null::<c_void>();
    libc::syscall(libc::SYS_sendto, fd, buffer, length, flags, none, 0) as ssize_t
}

/// `write(2)`.
///
/// # Safety
/// As of the C library.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    if strikes(Fault::DiskWrite) && is_file(fd) {
        // Half of it may be on the disk by then.
        libc::syscall(libc::SYS_write, fd, buffer, length / 2);
        return fail(one_of(&[libc::ENOSPC, libc::EIO]));
    }
    let short = strikes(Fault::ShortWrite) && is_socket(fd);
    let length = if short { length.min(1) } else { length };
    libc::syscall(libc::SYS_write, fd, buffer, length) as ssize_t
}

/// `writev(2)`.
///
/// # Safety
/// As of the C library.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, vectors: *const iovec, count: c_int) -> ssize_t {
    if strikes(Fault::InterruptedWrite) && is_socket(fd) {
        return fail(libc::EINTR);
    }
    if strikes(Fault::ShortWrite) && is_socket(fd) {
        let given = std::slice::from_raw_parts(vectors, count.max(0) as usize);
        if let Some(first) = given.iter().find(|vector| vector.iov_len > 0) {
            return libc::syscall(libc::SYS_write, fd, first.iov_base, 1usize) as ssize_t;
        }
    }
    libc::syscall(libc::SYS_writev, fd, vectors, count) as ssize_t
}

/// `accept4(2)`.
///
/// # Safety
/// As of the C library.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if strikes(Fault::Accept) {
        let errors = [
            libc::ECONNABORTED,
            libc::ENFILE,
            libc::EMFILE,
            libc::ENOBUFS,
            libc::ENOMEM,
            libc::EINTR,
        ];
        return fail(one_of(&errors));
    }
    let accepted = libc::syscall(libc::SYS_accept4, fd, address, length, flags) as c_int;
    record_opened(accepted, false);
    accepted
}

/// `connect(2)`.
///
/// # Safety
/// As of the C library.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if strikes(Fault::Connect) {
        return fail(one_of(&[
            libc::EADDRNOTAVAIL,
            libc::ENETUNREACH,
            libc::ENOBUFS,
            libc::EAGAIN,
        ]));
    }
    record_opened(fd, true);
    libc::syscall(libc::SYS_connect, fd, address, length) as c_int
}

/// `socket(2)`.
///
/// # Safety
/// As of the C library.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if strikes(Fault::Socket) {
        return fail(one_of(&[
            libc::ENFILE,
            libc::EMFILE,
            libc::ENOBUFS,
            libc::ENOMEM,
        ]));
    }
    libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int
}

/// `epoll_wait(2)`.
///
/// # Safety
/// As of the C library.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if strikes(Fault::InterruptedWait) {
        return fail(libc::EINTR);
    }
    libc::syscall(
        libc::SYS_epoll_pwait,
        fd,
        events,
        most,
        timeout,
        std::ptr::null::<c_void>(),
        8usize,
    ) as c_int
}

unsafe fn open_at(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    if flags & libc::O_CREAT != 0 && strikes(Fault::DiskWrite) {
        return fail(one_of(&[libc::ENOSPC, libc::EIO]));
    }
    libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) as c_int
}

/// `open(2)`.
///
/// # Safety
/// As of the C library.
#[no_mangle]
pub unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    open_at(path, flags, mode)
}

/// `open(2)` under its second name.
///
/// # Safety
/// As of the C library.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    open_at(path, flags, mode)
}

/// `rename(2)`.
///
/// # Safety
/// As of the C library.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if strikes(Fault::DiskWrite) {
        return fail(one_of(&[libc::ENOSPC, libc::EIO]));
    }
    let flags: c_uint = 0;
    libc::syscall(
        libc::SYS_renameat2,
        libc::AT_FDCWD,
        from,
        libc::AT_FDCWD,
        to,
        flags,
    ) as c_int
}

/// `fsync(2)`.
///
/// # Safety
/// As of the C library.
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if strikes(Fault::DiskWrite) {
        return fail(libc::EIO);
    }
    libc::syscall(libc::SYS_fsync, fd) as c_int
}

/// `clock_gettime(2)`: the wall clock is off by what the control file says.
///
/// # Safety
/// As of the C library.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let read = libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int;
    let offset = if clock == libc::CLOCK_REALTIME {
        clock_offset_ms()
    } else {
        0
    };
    if read == 0 && offset != 0 {
        let time = &mut *time;
        let millis = time.tv_sec * MILLIS_PER_SECOND + time.tv_nsec / NANOS_PER_MILLI + offset;
        time.tv_nsec =
            time.tv_nsec % NANOS_PER_MILLI + millis.rem_euclid(MILLIS_PER_SECOND) * NANOS_PER_MILLI;
        time.tv_sec = millis.div_euclid(MILLIS_PER_SECOND);
    }
    read
}
