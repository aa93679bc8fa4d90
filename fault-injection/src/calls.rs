//! The replaced functions of the C library, by group.
pub mod clock;
pub mod connections;
pub mod files;
pub mod reads;
pub mod waits;
pub mod writes;
