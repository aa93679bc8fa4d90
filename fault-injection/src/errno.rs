//! Makes a call fail with an error number.
use crate::control::random;
use libc::c_int;

/// The errors of calls that create a descriptor.
pub(crate) const DESCRIPTOR_CREATION_ERRORS: [c_int; 3] =
    [libc::EMFILE, libc::ENFILE, libc::ENOMEM];
/// The errors of calls that create a pair of descriptors.
pub(crate) const PAIR_CREATION_ERRORS: [c_int; 2] = [libc::EMFILE, libc::ENFILE];

/// Sets `errno` and returns -1, the result of a failed call.
pub(crate) fn fail<T: From<i8>>(error: c_int) -> T {
    // SAFETY: `__errno_location` returns a valid pointer to a variable of this thread.
    unsafe { *libc::__errno_location() = error };
    T::from(-1)
}

/// Sets `errno` to a random one of these errors and returns -1, the result of a failed call.
pub(crate) fn fail_with_one_of<T: From<i8>>(errors: &[c_int]) -> T {
    // The lower 16 bits of the generator's output are not used.
    let choice = (random() >> 16) as usize % errors.len();
    fail(errors[choice])
}
