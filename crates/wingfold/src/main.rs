//! The program `wingfold`. Each command is a module, which parses arguments and prints results; the libraries
//! do the rest.
#![forbid(unsafe_code)]

mod capture;
mod cli;
mod emulate;
mod explain;
mod file_error;
mod format;
mod metrics;
mod replay;
mod segments;
mod serve;
mod settings;
mod time_range;

fn main() -> std::process::ExitCode {
    cli::run()
}
