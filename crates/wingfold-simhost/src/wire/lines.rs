//! The lines of the input.

use super::{Fields, WireError};
use std::io::BufRead;

/// Reads the input line by line.
pub struct LineReader<R> {
    input: R,
    line: String,
}

impl<R: BufRead> LineReader<R> {
    /// A reader of the lines of `input`.
    pub fn new(input: R) -> Self {
        LineReader { input, line: String::new() }
    }

    /// The fields of the next line that is not empty; `None` at the end of the input.
    pub fn next_line(&mut self) -> Result<Option<Fields<'_>>, WireError> {
        loop {
            self.line.clear();
            if self.input.read_line(&mut self.line)? == 0 {
                return Ok(None);
            }
            if !without_line_end(&self.line).is_empty() {
                break;
            }
        }
        Ok(Some(Fields::new(without_line_end(&self.line))))
    }
}

fn without_line_end(line: &str) -> &str {
    line.trim_end_matches(['\n', '\r'])
}
