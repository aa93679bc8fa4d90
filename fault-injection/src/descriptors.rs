//! What a descriptor refers to, and whether this process opened its connection.
use libc::{c_int, mode_t};
use std::sync::atomic::{AtomicU64, Ordering};

/// The file type that Linux reports for an eventfd, timerfd, signalfd or epoll descriptor.
const ANONYMOUS_INODE: mode_t = 0;

/// Whether a descriptor is a regular file, other than the process's standard streams.
pub(crate) fn is_file(fd: c_int) -> bool {
    fd > libc::STDERR_FILENO && has_file_type(fd, libc::S_IFREG)
}

pub(crate) fn is_socket(fd: c_int) -> bool {
    has_file_type(fd, libc::S_IFSOCK)
}

/// Whether a descriptor is an eventfd, timerfd, signalfd, epoll descriptor or pipe of the process, other than its
/// standard streams.
pub(crate) fn is_event_descriptor(fd: c_int) -> bool {
    fd > libc::STDERR_FILENO
        && (has_file_type(fd, ANONYMOUS_INODE) || has_file_type(fd, libc::S_IFIFO))
}

/// Whether a descriptor is a local (`AF_UNIX`) socket. The only local sockets of the process are its socket pairs.
pub(crate) fn is_local_socket(fd: c_int) -> bool {
    let mut address = libc::sockaddr {
        sa_family: 0,
        sa_data: [0; 14],
    };
    let mut length = std::mem::size_of::<libc::sockaddr>() as libc::socklen_t;
    // SAFETY: both pointers are valid for the call, which writes at most `length` bytes of the address.
    let result = unsafe { libc::syscall(libc::SYS_getsockname, fd, &mut address, &mut length) };
    result == 0 && c_int::from(address.sa_family) == libc::AF_UNIX
}

/// Whether a descriptor has this type, one of `S_IFMT`.
fn has_file_type(fd: c_int, file_type: mode_t) -> bool {
    // SAFETY: all fields of `stat` are numbers, for which zero is valid.
    let mut stat: libc::stat = unsafe { std::mem::zeroed() };
    // SAFETY: the pointer is valid for the call, which writes at most one `stat`.
    let result = unsafe { libc::syscall(libc::SYS_fstat, fd, &mut stat) };
    result == 0 && stat.st_mode & libc::S_IFMT == file_type
}

/// Number of descriptors that are tracked. Connections of descriptors from this number on count as accepted.
const TRACKED_DESCRIPTORS: usize = 1024;
const BITS_PER_WORD: usize = 64;

/// One bit for each descriptor: whether this process opened its connection.
static OUTGOING_CONNECTIONS: [AtomicU64; TRACKED_DESCRIPTORS / BITS_PER_WORD] =
    [const { AtomicU64::new(0) }; TRACKED_DESCRIPTORS / BITS_PER_WORD];

/// Records that this process opened the connection of a descriptor.
pub(crate) fn record_outgoing(fd: c_int) {
    if let Some((word, bit)) = tracking_bit(fd) {
        word.fetch_or(bit, Ordering::Relaxed);
    }
}

/// Records that this process accepted the connection of a descriptor.
pub(crate) fn record_accepted(fd: c_int) {
    if let Some((word, bit)) = tracking_bit(fd) {
        word.fetch_and(!bit, Ordering::Relaxed);
    }
}

/// Whether this process opened the connection of a descriptor.
pub(crate) fn is_outgoing_connection(fd: c_int) -> bool {
    tracking_bit(fd).is_some_and(|(word, bit)| word.load(Ordering::Relaxed) & bit != 0)
}

/// The word and the bit of a descriptor; `None` if it is not tracked.
fn tracking_bit(fd: c_int) -> Option<(&'static AtomicU64, u64)> {
    let position = usize::try_from(fd).ok()?;
    let word = OUTGOING_CONNECTIONS.get(position / BITS_PER_WORD)?;
    Some((word, 1 << (position % BITS_PER_WORD)))
}
