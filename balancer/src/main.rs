//! The balancer program. The library holds all of it.
use std::process::ExitCode;

fn main() -> ExitCode {
    balancer::process::program::main()
}
