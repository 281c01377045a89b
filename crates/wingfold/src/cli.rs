//! The command line: the commands and their exit codes.

use crate::{capture, emulate, explain, metrics, replay, serve, settings};
use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use std::fmt::Display;
use std::process::ExitCode;

/// The program's name, for shells.
const PROGRAM: &str = "wingfold";

/// How a command ended, as its exit code tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All is well, or equal.
    Success,
    /// It was done, and the answer is no: different, not as expected, a rule broken.
    Negative,
    /// It could not be done.
    Failure,
}

impl Outcome {
    /// How a command ended that may have failed; why it failed is printed.
    pub fn of(result: Result<Outcome, impl Display>) -> Outcome {
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

const EXAMPLES: &str = "\
Exit codes: 0 well (replay: equal), 1 done and the answer is no (replay: different), 2 could not be done.

Examples:
  GW_CONFIG=config.json wingfold                     serve as a director
  wingfold serve --config config.json --own deploy/wingfold.hcl
  wingfold replay /var/lib/wingfold/capture/n3       replay a night, compare every call
  wingfold explain /var/lib/wingfold/capture/n3 --at 03:12:05 --host s-5be2a07c
  wingfold capture show /var/lib/wingfold/capture/n3
  wingfold metrics watch 10.0.0.4:8443
  wingfold emulate run crates/wingfold-emulator/scenarios/example.hcl --seeds 1..20 --out target/lab
  wingfold completions bash > /etc/bash_completion.d/wingfold";

#[derive(Debug, Parser)]
#[command(name = PROGRAM, version, about = "A traffic director for fleets of sidecar proxies", after_help = EXAMPLES)]
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
    /// Explain why the tables held what they held at a time
    #[command(visible_alias = "why")]
    Explain(explain::Explain),
    /// Look at captures, check them, cut them, keep a case of them
    #[command(subcommand)]
    Capture(capture::Capture),
    /// List metrics, or watch a director's
    #[command(subcommand, visible_alias = "figures")]
    Metrics(metrics::Metrics),
    /// Simulate scenarios in the emulator
    #[command(subcommand, visible_alias = "lab")]
    Emulate(emulate::Emulate),
    /// Check wingfold's own settings
    #[command(subcommand, visible_alias = "own")]
    Settings(settings::Settings),
    /// Print completions for a shell
    Completions {
        /// The shell
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

/// Runs the command of the command line.
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
