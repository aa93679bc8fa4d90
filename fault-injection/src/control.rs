//! The control file, which states when each fault is injected. A test changes it while the process runs.
//!
//! The file starts with one little-endian 64-bit word for each [`Fault`], in the order of the variants. The test writes
//! these words; the library maps the file and reads them. A word is a probability in millionths, or a value of
//! [`fail_first_calls`]; the word of [`Fault::ClockOffset`] is an offset in milliseconds. One more word for each fault
//! follows, in the same order, in which the library counts the calls that it made fail.
pub use crate::fault::Fault;

use std::ffi::CStr;
use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};

/// Name of the environment variable with the path of the control file. Without the variable no call fails.
pub const CONTROL_FILE_VARIABLE: &str = str_from_c_str(CONTROL_FILE_VARIABLE_C_STR);
/// Name of the environment variable with the seed of the random choices.
pub const SEED_VARIABLE: &str = str_from_c_str(SEED_VARIABLE_C_STR);
/// The word for a probability of one, with which every call fails.
pub const PROBABILITY_ONE: u64 = 1_000_000;
/// Size of the control file, in bytes.
pub const FILE_BYTES: usize = 2 * Fault::COUNT * WORD_BYTES;

/// Size of a word of the control file, in bytes.
pub const WORD_BYTES: usize = 8;

/// Bit of a word that states a number of calls instead of a probability.
const FIRST_CALLS_FLAG: u64 = 1 << 32;
const CONTROL_FILE_VARIABLE_C_STR: &CStr = c"FAULT_CONTROL";
const SEED_VARIABLE_C_STR: &CStr = c"FAULT_SEED";
/// The fractional part of the golden ratio in 64 bits: spreads small seeds over all states of the generator.
const SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Multiplier of the output of the generator xorshift64*.
const OUTPUT_FACTOR: u64 = 0x2545_f491_4f6c_dd1d;

const fn str_from_c_str(name: &'static CStr) -> &'static str {
    match name.to_str() {
        Ok(text) => text,
        Err(_) => panic!("the names of the variables are ASCII"),
    }
}

/// The word that makes the first `calls` calls fail. Only calls made while a word of this kind is set are counted. The
/// count is never reset while the process runs, so setting the word again continues it.
pub const fn fail_first_calls(calls: u32) -> u64 {
    FIRST_CALLS_FLAG | calls as u64
}

/// The words of the mapped control file; null without a control file.
static WORDS: AtomicPtr<AtomicU64> = AtomicPtr::new(std::ptr::null_mut());
/// For each fault, the number of calls that were counted for [`fail_first_calls`].
static COUNTED_CALLS: [AtomicU64; Fault::COUNT] = [const { AtomicU64::new(0) }; Fault::COUNT];
/// State of the random generator; never zero.
static RANDOM_STATE: AtomicU64 = AtomicU64::new(SEED_FACTOR);

/// Reads the seed and maps the control file. Called once, when the library is loaded.
pub(crate) fn initialize() {
    let Some(path) = environment_variable(CONTROL_FILE_VARIABLE_C_STR) else {
        return;
    };
    let seed = environment_variable(SEED_VARIABLE_C_STR)
        .and_then(|seed| seed.to_str().ok())
        .and_then(|seed| seed.parse::<u64>().ok());
    if let Some(seed) = seed {
        RANDOM_STATE.store(seed.wrapping_mul(SEED_FACTOR) | 1, Ordering::Relaxed);
    }
    if let Some(words) = map_words(path) {
        WORDS.store(words, Ordering::Release);
    }
}

/// Maps the control file at this path. It stays mapped until the process ends.
fn map_words(path: &CStr) -> Option<*mut AtomicU64> {
    let flags = libc::O_RDWR;
    let mode = 0;
    // SAFETY: the path is a valid string that ends with a zero byte.
    let file =
        unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), flags, mode) };
    if file < 0 {
        return None;
    }
    let address = std::ptr::null_mut();
    let offset = 0;
    // SAFETY: the kernel chooses the address, so that the mapping overlaps no other memory.
    let words = unsafe {
        libc::mmap(
            address,
            FILE_BYTES,
            libc::PROT_READ | libc::PROT_WRITE,
            libc::MAP_SHARED,
            file as i32,
            offset,
        )
    };
    // SAFETY: the descriptor was opened above and has no other user. The mapping does not need it.
    unsafe { libc::syscall(libc::SYS_close, file) };
    (words != libc::MAP_FAILED).then(|| words.cast())
}

fn environment_variable(name: &'static CStr) -> Option<&'static CStr> {
    // SAFETY: the name is a valid string. No other thread changes the environment while libraries are loaded.
    let value = unsafe { libc::getenv(name.as_ptr()) };
    if value.is_null() {
        return None;
    }
    // SAFETY: the value is a valid string that stays in place: the program has not started to change its environment.
    Some(unsafe { CStr::from_ptr(value) })
}

/// The word at this position of the control file; `None` without a control file.
fn word_at(position: usize) -> Option<&'static AtomicU64> {
    let words = WORDS.load(Ordering::Acquire);
    if words.is_null() || position >= FILE_BYTES / WORD_BYTES {
        return None;
    }
    // SAFETY: the mapping holds a word at this position and is never removed.
    Some(unsafe { &*words.add(position) })
}

/// The fault's word in the control file; zero without a control file.
fn read_word(fault: Fault) -> u64 {
    word_at(fault as usize).map_or(0, |word| word.load(Ordering::Relaxed))
}

/// Adds a failed call to the fault's counter in the control file.
fn count_injection(fault: Fault) {
    if let Some(count) = word_at(Fault::COUNT + fault as usize) {
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// A random number from the generator xorshift64*.
pub(crate) fn random() -> u64 {
    let previous = RANDOM_STATE.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |state| {
        Some(next_random_state(state))
    });
    next_random_state(previous.unwrap_or(1)).wrapping_mul(OUTPUT_FACTOR)
}

fn next_random_state(state: u64) -> u64 {
    let state = state ^ (state >> 12);
    let state = state ^ (state << 25);
    state ^ (state >> 27)
}

/// Whether to inject a fault into the current call. Draws a random number only if the fault's word is a probability
/// above zero.
pub(crate) fn should_inject(fault: Fault) -> bool {
    should_inject_if(fault, || true)
}

/// Whether to inject a fault into the current call, which must satisfy `condition`. Checks the condition only if the
/// fault's word is not zero.
pub(crate) fn should_inject_if(fault: Fault, condition: impl FnOnce() -> bool) -> bool {
    let word = read_word(fault);
    if word == 0 || !condition() || !decide_injection(fault, word) {
        return false;
    }
    count_injection(fault);
    true
}

/// Decides whether this word makes the current call fail. Counts the call, or draws a random number.
fn decide_injection(fault: Fault, word: u64) -> bool {
    if word & FIRST_CALLS_FLAG != 0 {
        return COUNTED_CALLS[fault as usize].fetch_add(1, Ordering::Relaxed)
            < word ^ FIRST_CALLS_FLAG;
    }
    (random() >> 16) % PROBABILITY_ONE < word
}

/// Offset that is added to the wall clock, in milliseconds.
pub(crate) fn clock_offset_ms() -> i64 {
    read_word(Fault::ClockOffset) as i64
}
