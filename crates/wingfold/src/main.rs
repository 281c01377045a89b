//! wingfold, the program: each command is a module, the work is in the libraries.
#![forbid(unsafe_code)]

mod capture;
mod cli;
mod figures;
mod lab;
mod replay;
mod say;
mod serve;
mod why;

fn main() -> std::process::ExitCode {
    cli::run()
}
