//! Creating, renaming and syncing files.
use crate::control::{should_inject, Fault};
use crate::errno::{fail, fail_with_one_of};
use libc::{c_char, c_int, c_uint, mode_t};

const WRITE_ERRORS: [c_int; 2] = [libc::ENOSPC, libc::EIO];

/// Opens a file relative to the current directory. Only calls that may create a file can fail by injection.
///
/// # Safety
/// The contract of the C library's `open`.
unsafe fn open_file(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    if flags & libc::O_CREAT != 0 && should_inject(Fault::DiskWrite) {
        return fail_with_one_of(&WRITE_ERRORS);
    }
    // SAFETY: the caller guarantees the contract of `open`; the arguments are unchanged.
    unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) as c_int }
}

/// `open(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller guarantees the contract of `open`.
    unsafe { open_file(path, flags, mode) }
}

/// `open(2)` under its name for programs with support for large files.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller guarantees the contract of `open`.
    unsafe { open_file(path, flags, mode) }
}

/// `rename(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if should_inject(Fault::DiskWrite) {
        return fail_with_one_of(&WRITE_ERRORS);
    }
    let flags: c_uint = 0;
    // SAFETY: the caller guarantees that both paths are valid strings.
    unsafe {
        libc::syscall(
            libc::SYS_renameat2,
            libc::AT_FDCWD,
            from,
            libc::AT_FDCWD,
            to,
            flags,
        ) as c_int
    }
}

/// `fsync(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if should_inject(Fault::DiskWrite) {
        return fail(libc::EIO);
    }
    // SAFETY: the call takes a number only.
    unsafe { libc::syscall(libc::SYS_fsync, fd) as c_int }
}
