//! `scale`: runs the measurements of an experiment file and reports the results. See the README.
use clap::Parser;
use scale::cli::Arguments;
use std::process::ExitCode;

fn main() -> ExitCode {
    match scale::cli::execute(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("scale: {}", error.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
