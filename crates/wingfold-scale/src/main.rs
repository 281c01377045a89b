//! Entry point of the program `wingfold-scale`.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    wingfold_scale::cli::main()
}
