//! Which system calls a fault makes fail, and how often.
use fault_injection::control::Fault as SyscallFault;

/// System call faults that are injected together.
pub(super) struct FailingCalls {
    /// The faults.
    pub(super) faults: &'static [SyscallFault],
    /// Highest probability of each fault.
    pub(super) max_probability: f64,
}

/// Faults of [`Fault::ShortTransfers`](crate::fault::Fault::ShortTransfers).
pub(super) const SHORT_TRANSFERS: FailingCalls = FailingCalls {
    faults: &[SyscallFault::ShortRead, SyscallFault::ShortWrite],
    max_probability: 0.02,
};

/// Faults of [`Fault::Interrupted`](crate::fault::Fault::Interrupted).
pub(super) const INTERRUPTIONS: FailingCalls = FailingCalls {
    faults: &[
        SyscallFault::InterruptedRead,
        SyscallFault::InterruptedWrite,
        SyscallFault::InterruptedWait,
    ],
    max_probability: 0.02,
};

/// Faults of [`Fault::FailingSockets`](crate::fault::Fault::FailingSockets).
pub(super) const SOCKET_FAILURES: FailingCalls = FailingCalls {
    faults: &[
        SyscallFault::Accept,
        SyscallFault::Connect,
        SyscallFault::Socket,
    ],
    max_probability: 0.05,
};

/// Faults of [`Fault::BrokenReads`](crate::fault::Fault::BrokenReads).
pub(super) const BROKEN_READS: FailingCalls = FailingCalls {
    faults: &[SyscallFault::BrokenRead],
    max_probability: 0.005,
};

/// Faults of [`Fault::EventDescriptors`](crate::fault::Fault::EventDescriptors). Most of these calls are rare, so they
/// need a high probability.
pub(super) const EVENT_DESCRIPTOR_FAILURES: FailingCalls = FailingCalls {
    faults: &[
        SyscallFault::InterruptedEventRead,
        SyscallFault::FailedEventRead,
        SyscallFault::InterruptedEventWrite,
        SyscallFault::InterruptedPairRead,
        SyscallFault::InterruptedPairWrite,
        SyscallFault::TimerfdSetting,
    ],
    max_probability: 0.3,
};

/// Faults of [`Fault::Registrations`](crate::fault::Fault::Registrations).
pub(super) const REGISTRATION_FAILURES: FailingCalls = FailingCalls {
    faults: &[SyscallFault::EpollAdd, SyscallFault::EpollModify],
    max_probability: 0.05,
};

/// Faults of [`Fault::FailingLog`](crate::fault::Fault::FailingLog).
pub(super) const LOG_FAILURES: FailingCalls = FailingCalls {
    faults: &[SyscallFault::FailedLogWrite],
    max_probability: 0.2,
};
