//! Hosts director instances behind the simulator's line protocol on standard input and output.
#![forbid(unsafe_code)]

mod batch;
mod capture;
mod hosting;
mod instance;
mod wire;

use std::io::{self, BufReader, BufWriter};
use std::path::PathBuf;
use std::process::ExitCode;

/// Size of the input's and the output's buffer in bytes.
const IO_BUFFER_BYTES: usize = 1 << 16;

/// ReportNames the directory for captures. It is a switch for whoever wants a simulated day to replay, not a setting of the
/// director.
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
