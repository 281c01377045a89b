//! The command line: what can be asked, and the exit codes.

use crate::{capture, figures, lab, replay, serve, why};
use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use std::path::PathBuf;
use std::process::ExitCode;

/// How a command ended, as its exit code tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All is well, or equal.
    Good,
    /// It was done, and the answer is no: different, not as expected, a rule broken.
    Different,
    /// It could not be done.
    Unusable,
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> ExitCode {
        ExitCode::from(outcome as u8)
    }
}

const EXAMPLES: &str = "\
Exit codes: 0 well (replay: equal), 1 done and the answer is no (replay: different), 2 could not be done.

Examples:
  GW_CONFIG=config.json wingfold                     serve as a director
  wingfold serve --config config.json --own deploy/wingfold.hcl
  wingfold replay /var/lib/wingfold/capture/n3       replay a night, compare every call
  wingfold why /var/lib/wingfold/capture/n3 --at 03:12:05 --host s-5be2a07c
  wingfold capture show /var/lib/wingfold/capture/n3
  wingfold figures watch 10.0.0.4:8443
  wingfold lab run crates/wingfold-emulator/scenarios/example.hcl --seeds 1..20 --out target/lab
  wingfold completions bash > /etc/bash_completion.d/wingfold";

#[derive(Debug, Parser)]
#[command(name = "wingfold", version, about = "A traffic director for fleets of sidecar proxies", after_help = EXAMPLES)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve as a director (what wingfold does without a command)
    Serve(serve::Serve),
    /// Run the module over a capture and compare every answer with what was answered then
    Replay(replay::Replay),
    /// Tell why the tables held what they held at a time
    Why(why::Why),
    /// Look at captures, check them, cut them, keep a case of them
    #[command(subcommand)]
    Capture(capture::Capture),
    /// List figures, or watch a director's
    #[command(subcommand)]
    Figures(figures::Figures),
    /// Play scenarios in the emulator
    #[command(subcommand)]
    Lab(lab::Lab),
    /// Read wingfold's own settings
    #[command(subcommand)]
    Own(OwnCommand),
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

#[derive(Debug, Subcommand)]
enum OwnCommand {
    /// Tell everything that is wrong with a file of own settings (HCL)
    Check {
        /// The file
        file: PathBuf,
    },
}

/// Runs the command that was asked for.
pub fn run() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        None => serve::Serve::default().run(),
        Some(Command::Serve(serve)) => serve.run(),
        Some(Command::Replay(replay)) => replay.run().into(),
        Some(Command::Why(why)) => why.run().into(),
        Some(Command::Capture(capture)) => capture.run().into(),
        Some(Command::Figures(figures)) => figures.run().into(),
        Some(Command::Lab(lab)) => lab.run().into(),
        Some(Command::Own(OwnCommand::Check { file })) => match serve::own(Some(&file)) {
            Ok(_) => {
                println!("{}: good", file.display());
                Outcome::Good.into()
            }
            Err(problem) => {
                eprintln!("{problem}");
                Outcome::Unusable.into()
            }
        },
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Cli::command(), "wingfold", &mut std::io::stdout());
            Outcome::Good.into()
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_command_line_is_sound() {
        Cli::command().debug_assert();
    }
}
