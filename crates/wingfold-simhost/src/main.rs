//! Runs director instances that the simulator controls with a line protocol on standard input and output.
#![forbid(unsafe_code)]

mod batch;
mod capture;
mod hosting;
mod instance;
mod wire;

use std::io::{self, BufReader, BufWriter};
use std::path::PathBuf;
use std::process::ExitCode;

/// The size of each of the buffers for input and output, in bytes.
const IO_BUFFER_BYTES: usize = 1 << 16;

/// The environment variable that names the directory for captures. It is set to record a simulation for
/// replay, and is not a setting of the director.
const CAPTURE_VARIABLE: &str = "WINGFOLD_CAPTURE";

fn main() -> ExitCode {
    let input = BufReader::with_capacity(IO_BUFFER_BYTES, io::stdin().lock());
    let output = BufWriter::with_capacity(IO_BUFFER_BYTES, io::stdout().lock());
    let capture_root = std::env::var_os(CAPTURE_VARIABLE).map(PathBuf::from);
    match hosting::serve(input, output, capture_root) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wingfold-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
