//! The balancer as a process; all of it is in the library.
#![forbid(unsafe_code)]
use std::process::ExitCode;

fn main() -> ExitCode {
    balancer::program::main()
}
