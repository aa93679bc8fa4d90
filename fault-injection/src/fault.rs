//! The kinds of fault.
use crate::control::WORD_BYTES;

/// The faults that can be injected. The control file holds their words in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Fault {
    /// A read from a socket returns at most one byte.
    ShortRead,
    /// A read from a socket fails with EINTR.
    InterruptedRead,
    /// A write to a socket writes one byte only.
    ShortWrite,
    /// A write to a socket fails with EINTR.
    InterruptedWrite,
    /// A read from a connection that the process opened itself fails with ETIMEDOUT or EHOSTUNREACH.
    BrokenRead,
    /// `accept` fails with a transient error.
    Accept,
    /// `connect` fails with a transient error.
    Connect,
    /// `socket` fails with a transient error.
    Socket,
    /// `epoll_wait` fails with EINTR.
    InterruptedWait,
    /// Creating, writing, renaming or syncing a file fails with ENOSPC or EIO.
    DiskWrite,
    /// Reading a file fails with EIO.
    DiskRead,
    /// The wall clock is shifted. The fault's word is the offset in milliseconds, a signed number.
    ClockOffset,
    /// A read from an eventfd, timerfd, signalfd or pipe fails with EINTR.
    InterruptedEventRead,
    /// A read from an eventfd, timerfd, signalfd or pipe fails with EIO.
    FailedEventRead,
    /// A write to an eventfd or pipe fails with EINTR.
    InterruptedEventWrite,
    /// A read from a socket pair fails with EINTR.
    InterruptedPairRead,
    /// A write to a socket pair fails with EINTR.
    InterruptedPairWrite,
    /// `epoll_ctl` fails to add a descriptor, with ENOMEM or ENOSPC.
    EpollAdd,
    /// `epoll_ctl` fails to modify or remove a descriptor, with ENOMEM.
    EpollModify,
    /// `epoll_create1` fails with EMFILE, ENFILE or ENOMEM.
    EpollCreation,
    /// `eventfd` fails with EMFILE, ENFILE or ENOMEM.
    EventfdCreation,
    /// `timerfd_create` fails with EMFILE, ENFILE or ENOMEM.
    TimerfdCreation,
    /// `timerfd_settime` fails with EINVAL.
    TimerfdSetting,
    /// `signalfd` fails to create a descriptor, with EMFILE, ENFILE or ENOMEM.
    SignalfdCreation,
    /// `pipe` and `pipe2` fail with EMFILE or ENFILE.
    PipeCreation,
    /// `socketpair` fails with EMFILE or ENFILE.
    SocketpairCreation,
    /// `dup` and `fcntl` fail to duplicate a descriptor, with EMFILE.
    Duplication,
    /// A write to standard error fails with EIO or EPIPE.
    FailedLogWrite,
}

impl Fault {
    /// Number of faults.
    pub const COUNT: usize = Fault::FailedLogWrite as usize + 1;

    /// Position of the fault's word in the control file, in bytes.
    pub fn offset(self) -> u64 {
        (self as usize * WORD_BYTES) as u64
    }

    /// Position of the word in which the library counts the calls that the fault made fail, in bytes.
    pub fn count_offset(self) -> u64 {
        ((Fault::COUNT + self as usize) * WORD_BYTES) as u64
    }
}
