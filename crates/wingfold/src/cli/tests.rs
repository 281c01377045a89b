//! The definition of the command line.

use super::*;

#[test]
fn the_command_line_is_sound() {
    Cli::command().debug_assert();
}
