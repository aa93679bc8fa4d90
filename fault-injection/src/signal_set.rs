//! Signal sets as the kernel takes them.

/// Size of the kernel's signal set, which calls take besides the set.
pub(crate) const KERNEL_SIGNAL_SET_BYTES: usize = 8;
