//! The definition of the command line is valid.

use super::*;

#[test]
fn clap_accepts_the_command_line_definition() {
    Cli::command().debug_assert();
}
