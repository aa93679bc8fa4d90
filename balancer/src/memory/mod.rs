//! The memory of the process: what is allocated, how much of it may be, and what happens while it
//! is short.

pub(crate) mod allocation;
pub(crate) mod budget;
pub(crate) mod report;
