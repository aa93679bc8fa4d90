//! The admin endpoint, and the administrative overrides it keeps.

pub(crate) mod overrides;
pub(crate) mod server;
