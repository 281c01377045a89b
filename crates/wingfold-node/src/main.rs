//! The director as a program: all of it is in the library.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    wingfold_node::main()
}
