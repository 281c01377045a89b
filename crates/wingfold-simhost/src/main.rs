//! Hosts director instances behind the simulator's line protocol on standard input and output.
#![forbid(unsafe_code)]

mod hosting;
mod wire;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    // Not a setting of the director: a switch for whoever wants a simulated day to replay.
    let captures = std::env::var_os("WINGFOLD_CAPTURE").map(std::path::PathBuf::from);
    match hosting::serve(input, output, captures.as_deref()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wingfold-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
