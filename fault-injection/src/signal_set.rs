//! Signal sets in the kernel's format.

/// Size of the kernel's signal set, in bytes. System calls take it as an argument next to the set.
pub(crate) const KERNEL_SIGNAL_SET_BYTES: usize = 8;
