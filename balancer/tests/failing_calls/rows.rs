//! The rows: which system calls fail, and how often.
use fault_injection::control::{fail_first_calls, Fault, PROBABILITY_ONE};

/// System calls that fail in the same plays.
pub struct Row {
    /// Names the row in a report.
    pub name: &'static str,
    pub faults: &'static [Fault],
    /// The word of each fault in the control file, which states how often it is injected.
    pub word: u64,
    /// Whether connections to upstreams fail too, so that 502 and 503 are right answers to a request.
    pub breaks_upstream_connections: bool,
}

/// A row whose faults leave connections to upstreams intact.
pub const fn row(name: &'static str, faults: &'static [Fault], word: u64) -> Row {
    Row {
        name,
        faults,
        word,
        breaks_upstream_connections: false,
    }
}

/// The word with which one in `calls` calls fails on average.
pub const fn one_in(calls: u64) -> u64 {
    PROBABILITY_ONE / calls
}

const INTERRUPTIONS: &[Fault] = &[
    Fault::InterruptedRead,
    Fault::InterruptedWrite,
    Fault::InterruptedWait,
    Fault::InterruptedEventRead,
    Fault::InterruptedEventWrite,
    Fault::InterruptedPairRead,
    Fault::InterruptedPairWrite,
];

const CREATIONS: &[Fault] = &[
    Fault::EpollCreation,
    Fault::EventfdCreation,
    Fault::TimerfdCreation,
    Fault::SignalfdCreation,
    Fault::PipeCreation,
    Fault::SocketpairCreation,
    Fault::Duplication,
];

/// All rows. Errors are those of the calls' man pages, with three exceptions. The kernel gives none of them, and the
/// balancer must survive them all the same: EIO for a read of an event descriptor, EINVAL for a valid time of a
/// timerfd, and ENOMEM for the removal of a descriptor from an epoll instance.
pub const ROWS: &[Row] = &[
    row("no fault", &[], 0),
    row("recv EINTR 1/3", &[Fault::InterruptedRead], one_in(3)),
    row("recv EINTR 1/7", &[Fault::InterruptedRead], one_in(7)),
    row(
        "pair recv EINTR 1/2",
        &[Fault::InterruptedPairRead],
        one_in(2),
    ),
    row("send EINTR 1/3", &[Fault::InterruptedWrite], one_in(3)),
    row(
        "pair send EINTR 1/2",
        &[Fault::InterruptedPairWrite],
        one_in(2),
    ),
    row(
        "event write EINTR 1/2",
        &[Fault::InterruptedEventWrite],
        one_in(2),
    ),
    row(
        "event write EINTR first 20",
        &[Fault::InterruptedEventWrite],
        fail_first_calls(20),
    ),
    row(
        "event read EINTR 1/2",
        &[Fault::InterruptedEventRead],
        one_in(2),
    ),
    row(
        "event read EINTR first 20",
        &[Fault::InterruptedEventRead],
        fail_first_calls(20),
    ),
    row("event read EIO 1/3", &[Fault::FailedEventRead], one_in(3)),
    row("epoll_wait EINTR 1/2", &[Fault::InterruptedWait], one_in(2)),
    row("all interrupted 1/3", INTERRUPTIONS, one_in(3)),
    row("epoll_ctl ADD 1/7", &[Fault::EpollAdd], one_in(7)),
    row("epoll_ctl ADD 1/2", &[Fault::EpollAdd], one_in(2)),
    row(
        "epoll_ctl ADD first 5",
        &[Fault::EpollAdd],
        fail_first_calls(5),
    ),
    row("epoll_ctl MOD, DEL 1/2", &[Fault::EpollModify], one_in(2)),
    row("epoll_create1 1/2", &[Fault::EpollCreation], one_in(2)),
    row("eventfd 1/2", &[Fault::EventfdCreation], one_in(2)),
    row("timerfd_create 1/2", &[Fault::TimerfdCreation], one_in(2)),
    row(
        "timerfd_settime EINVAL 1/2",
        &[Fault::TimerfdSetting],
        one_in(2),
    ),
    row("signalfd 1/2", &[Fault::SignalfdCreation], one_in(2)),
    row("pipe2 1/2", &[Fault::PipeCreation], one_in(2)),
    row("socketpair 1/2", &[Fault::SocketpairCreation], one_in(2)),
    row("dup 1/2", &[Fault::Duplication], one_in(2)),
    row("all creations first 2", CREATIONS, fail_first_calls(2)),
    row("log write 1/2", &[Fault::FailedLogWrite], one_in(2)),
    row(
        "log write always",
        &[Fault::FailedLogWrite],
        PROBABILITY_ONE,
    ),
];
