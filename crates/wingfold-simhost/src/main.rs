//! Hosts director instances behind the simulator's line protocol on standard input and output.
#![forbid(unsafe_code)]

mod hosting;
mod wire;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match hosting::serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wingfold-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
