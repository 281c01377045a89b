//! The command line: the commands and their exit codes.

use crate::{capture, emulate, explain, metrics, replay, serve, settings};
use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use std::fmt::Display;
use std::process::ExitCode;

/// The program's name in usage texts and in completion scripts.
const PROGRAM: &str = "wingfold";

/// How a command ended. The exit code is the number of the variant: 0, 1 or 2.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The command completed and found nothing wrong; `replay` found no difference.
    Success,
    /// The command completed with a negative result: a difference, damage, a failed case or a violated
    /// invariant.
    Negative,
    /// The command could not run or did not complete.
    Failure,
}

impl Outcome {
    /// Returns the outcome of a command. An error is printed to standard error and becomes `Failure`.
    pub fn from_result(result: Result<Outcome, impl Display>) -> Outcome {
        result.unwrap_or_else(|error| {
            eprintln!("{error}");
            Outcome::Failure
        })
    }
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> ExitCode {
        ExitCode::from(outcome as u8)
    }
}

const EXIT_CODES_AND_EXAMPLES: &str = "\
Exit codes: 0 success (replay: no differences), 1 negative result (replay: differences found; \
capture test: a case failed), 2 the command could not run.

Examples:
  GW_CONFIG=config.json wingfold                     run a director
  wingfold serve --config config.json --own deploy/wingfold.hcl
  wingfold replay /var/lib/wingfold/capture/n3       replay a capture and compare every call
  wingfold explain /var/lib/wingfold/capture/n3 --at 03:12:05 --host s-5be2a07c
  wingfold capture show /var/lib/wingfold/capture/n3
  wingfold metrics watch 10.0.0.4:8443
  wingfold emulate run crates/wingfold-emulator/scenarios/example.hcl --seeds 1..20 --out target/lab
  wingfold completions bash > /etc/bash_completion.d/wingfold";

#[derive(Debug, Parser)]
#[command(
    name = PROGRAM,
    version,
    about = "A traffic director for fleets of sidecar proxies",
    after_help = EXIT_CODES_AND_EXAMPLES
)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a director (the default if no command is given)
    Serve(serve::Serve),
    /// Replay a capture and compare the actions of this build with the recorded ones
    Replay(replay::Replay),
    /// Explain why hosts had their weights in the tables at a given time
    #[command(visible_alias = "why")]
    Explain(explain::Explain),
    /// Show, check and cut captures, and keep parts of them as test cases
    #[command(subcommand)]
    Capture(capture::Capture),
    /// List all metrics, or watch those of a running director
    #[command(subcommand, visible_alias = "figures")]
    Metrics(metrics::Metrics),
    /// Run or check scenarios of the emulator
    #[command(subcommand, visible_alias = "lab")]
    Emulate(emulate::Emulate),
    /// Check a local settings file
    #[command(subcommand, visible_alias = "own")]
    Settings(settings::Settings),
    /// Print the completion script of a shell
    Completions {
        /// The shell that the script is for
        shell: Shell,
    },
}

impl Command {
    fn run(self) -> ExitCode {
        match self {
            Command::Serve(serve) => serve.run(),
            Command::Replay(replay) => replay.run().into(),
            Command::Explain(explain) => explain.run().into(),
            Command::Capture(capture) => capture.run().into(),
            Command::Metrics(metrics) => metrics.run().into(),
            Command::Emulate(emulate) => emulate.run().into(),
            Command::Settings(settings) => settings.run().into(),
            Command::Completions { shell } => print_completions(shell).into(),
        }
    }
}

/// Parses the command line and runs its command, or a director if the command line names none.
pub fn run() -> ExitCode {
    match Cli::parse().command {
        None => serve::Serve::default().run(),
        Some(command) => command.run(),
    }
}

fn print_completions(shell: Shell) -> Outcome {
    clap_complete::generate(shell, &mut Cli::command(), PROGRAM, &mut std::io::stdout());
    Outcome::Success
}

#[cfg(test)]
mod tests;
