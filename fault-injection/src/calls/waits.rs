//! Waiting for events.
use crate::control::{should_inject, Fault};
use crate::errno::fail;
use crate::signal_set::KERNEL_SIGNAL_SET_BYTES;
use libc::{c_int, c_void, epoll_event};

/// `epoll_wait(2)`.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if should_inject(Fault::InterruptedWait) {
        return fail(libc::EINTR);
    }
    let no_signal_set = std::ptr::null::<c_void>();
    // SAFETY: the caller guarantees the contract of `epoll_wait`; a null signal set changes no signal mask.
    unsafe {
        libc::syscall(
            libc::SYS_epoll_pwait,
            fd,
            events,
            max_events,
            timeout,
            no_signal_set,
            KERNEL_SIGNAL_SET_BYTES,
        ) as c_int
    }
}
