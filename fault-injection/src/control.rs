//! The control file: how likely each fault is, changed by the test while the process runs.
//!
//! The file holds one little-endian 64-bit word for each [`Fault`], in their order. The library maps it into the process;
//! whoever steers the test writes the words.
use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};

/// The environment variable that names the control file. Without it no call fails.
pub const CONTROL_FILE: &str = "FAULT_CONTROL";
/// The environment variable with the seed of the random choices.
pub const SEED: &str = "FAULT_SEED";
/// Probabilities are stated in parts of this.
pub const CERTAIN: u64 = 1_000_000;
/// Size of the control file.
pub const FILE_BYTES: usize = Fault::COUNT * 8;

/// What may fail. All but [`Fault::ClockOffset`] are probabilities in millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Fault {
    /// A read from a socket returns one byte though there are more.
    ShortRead,
    /// A read from a socket returns EINTR.
    InterruptedRead,
    /// A write to a socket takes one byte only.
    ShortWrite,
    /// A write to a socket returns EINTR.
    InterruptedWrite,
    /// A read from a connection that the process opened itself fails: ETIMEDOUT or EHOSTUNREACH.
    BrokenRead,
    /// `accept` fails for a moment.
    Accept,
    /// `connect` fails for a moment.
    Connect,
    /// `socket` fails for a moment.
    Socket,
    /// A wait returns EINTR.
    InterruptedWait,
    /// Files cannot be created, written, renamed or synced: ENOSPC or EIO.
    DiskWrite,
    /// Files cannot be read: EIO.
    DiskRead,
    /// Milliseconds, with sign, that the wall clock is off.
    ClockOffset,
}

impl Fault {
    /// How many there are.
    pub const COUNT: usize = 12;

    /// Where its word is in the control file, in bytes.
    pub fn offset(self) -> u64 {
        self as u64 * 8
    }
}

static WORDS: AtomicPtr<AtomicU64> = AtomicPtr::new(std::ptr::null_mut());
static RANDOM: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);

/// Maps the control file; called once, as the library is loaded.
pub(crate) fn map() {
    let Some(path) = environment(c"FAULT_CONTROL") else {
        return;
    };
    if let Some(seed) =
        environment(c"FAULT_SEED").and_then(|seed| seed.to_str().ok()?.parse::<u64>().ok())
    {
        RANDOM.store(
            seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            Ordering::Relaxed,
        );
    }
    // SAFETY: plain system calls with a valid path; the mapping is never taken away again.
    unsafe {
        let file = libc::syscall(
            libc::SYS_openat,
            libc::AT_FDCWD,
            path.as_ptr(),
            libc::O_RDONLY,
            0,
        );
        if file < 0 {
            return;
        }
        let (read, shared) = (libc::PROT_READ, libc::MAP_SHARED);
        let words = libc::mmap(
            std::ptr::null_mut(),
            FILE_BYTES,
            read,
            shared,
            file as i32,
            0,
        );
        libc::syscall(libc::SYS_close, file);
        if words != libc::MAP_FAILED {
            WORDS.store(words.cast(), Ordering::Release);
        }
    }
}

fn environment(name: &'static std::ffi::CStr) -> Option<&'static std::ffi::CStr> {
    // SAFETY: at load time no other thread changes the environment; the value stays where it is.
    unsafe {
        let value = libc::getenv(name.as_ptr());
        (!value.is_null()).then(|| std::ffi::CStr::from_ptr(value))
    }
}

fn word(fault: Fault) -> u64 {
    let words = WORDS.load(Ordering::Acquire);
    if words.is_null() {
        return 0;
    }
    // SAFETY: the mapping holds a word for each fault and is never taken away.
    unsafe { (*words.add(fault as usize)).load(Ordering::Relaxed) }
}

/// A random number (xorshift64*).
pub(crate) fn random() -> u64 {
    let step = |x: u64| {
        let x = x ^ (x >> 12);
        let x = x ^ (x << 25);
        x ^ (x >> 27)
    };
    let before = RANDOM.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |x| Some(step(x)));
    step(before.unwrap_or(1)).wrapping_mul(0x2545_f491_4f6c_dd1d)
}

/// Whether a fault strikes this call.
pub(crate) fn strikes(fault: Fault) -> bool {
    let likely = word(fault);
    likely > 0 && (random() >> 16) % CERTAIN < likely
}

/// How far the wall clock is off, in milliseconds.
pub(crate) fn clock_offset_ms() -> i64 {
    word(Fault::ClockOffset) as i64
}
