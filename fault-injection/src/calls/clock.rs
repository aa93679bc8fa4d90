//! Reading clocks.
use crate::control::clock_offset_ms;
use libc::{c_int, clockid_t, timespec};

const MILLIS_PER_SECOND: i64 = 1000;
const NANOS_PER_MILLI: i64 = 1_000_000;

/// `clock_gettime(2)`. The wall clock is shifted by the offset in the control file.
///
/// # Safety
/// The contract of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller guarantees the contract of `clock_gettime`; the arguments are unchanged.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int };
    if result != 0 || clock != libc::CLOCK_REALTIME {
        return result;
    }
    let offset_ms = clock_offset_ms();
    if offset_ms != 0 {
        // SAFETY: the kernel has just written a time to this pointer, so that it is valid.
        shift(unsafe { &mut *time }, offset_ms);
    }
    result
}

fn shift(time: &mut timespec, offset_ms: i64) {
    let millis = time.tv_sec * MILLIS_PER_SECOND + time.tv_nsec / NANOS_PER_MILLI + offset_ms;
    let nanos_below_milli = time.tv_nsec % NANOS_PER_MILLI;
    time.tv_nsec = nanos_below_milli + millis.rem_euclid(MILLIS_PER_SECOND) * NANOS_PER_MILLI;
    time.tv_sec = millis.div_euclid(MILLIS_PER_SECOND);
}
