//! wingfold, the program: each command is a module, the work is in the libraries.
#![forbid(unsafe_code)]

mod capture;
mod cli;
mod emulate;
mod file_error;
mod metrics;
mod replay;
mod say;
mod serve;
mod settings;
mod why;

fn main() -> std::process::ExitCode {
    cli::run()
}
