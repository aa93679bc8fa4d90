//! Creating epoll instances and changing the descriptors that they wait for.
use crate::control::{should_inject, Fault};
use crate::errno::{fail, fail_with_one_of, DESCRIPTOR_CREATION_ERRORS};
use libc::{c_int, epoll_event};

const ADD_ERRORS: [c_int; 2] = [libc::ENOMEM, libc::ENOSPC];

/// `epoll_create1(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_create1(flags: c_int) -> c_int {
    if should_inject(Fault::EpollCreation) {
        return fail_with_one_of(&DESCRIPTOR_CREATION_ERRORS);
    }
    // SAFETY: the call takes a number only.
    unsafe { libc::syscall(libc::SYS_epoll_create1, flags) as c_int }
}

/// `epoll_ctl(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut epoll_event,
) -> c_int {
    if operation == libc::EPOLL_CTL_ADD {
        if should_inject(Fault::EpollAdd) {
            return fail_with_one_of(&ADD_ERRORS);
        }
    } else if should_inject(Fault::EpollModify) {
        return fail(libc::ENOMEM);
    }
    // SAFETY: the caller guarantees the contract of `epoll_ctl`; the arguments are unchanged.
    unsafe { libc::syscall(libc::SYS_epoll_ctl, epoll, operation, fd, event) as c_int }
}
