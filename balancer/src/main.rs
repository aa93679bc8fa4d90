//! The balancer program. All of its code is in the library.
use std::process::ExitCode;

fn main() -> ExitCode {
    balancer::process::program::main()
}
