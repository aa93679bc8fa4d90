//! The balancer as a process; all of it is in the library.
use std::process::ExitCode;

fn main() -> ExitCode {
    balancer::process::program::main()
}
