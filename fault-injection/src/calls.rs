//! The functions of the C library that are replaced, grouped by purpose.
pub mod clock;
pub mod connections;
pub mod duplicates;
pub mod epoll;
pub mod eventfd;
pub mod files;
pub mod pairs;
pub mod reads;
pub mod signalfd;
pub mod timerfd;
pub mod waits;
pub mod writes;
