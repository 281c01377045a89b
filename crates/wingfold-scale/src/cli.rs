//! The command line.

use crate::faults::Fault;
use crate::limits::{LimitsError, Machine, Refusal};
use crate::plan::{Plan, Step};
use clap::error::{ContextKind, ErrorKind};
use clap::{Args, CommandFactory, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

const EXAMPLES: &str = "\
Exit codes: 0 played and as it should be, 1 could not be played or something of it failed, 2 a wrong option.

Examples:
  wingfold-scale plan --step 1
  wingfold-scale run --step 1/4 --fault restart-quarter --json target/scale.json
  wingfold-scale ladder --out target/scale";

/// The command line.
#[derive(Debug, Parser)]
#[command(
    name = "wingfold-scale",
    version,
    about = "A few real directors among a whole fleet of hollow parts"
)]
#[command(after_help = EXAMPLES)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What can be asked.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// State what a run would take of the machine, and whether it may
    Plan(RunOptions),
}

/// Options of one run.
#[derive(Args, Clone, Debug)]
pub struct RunOptions {
    /// The part of the whole fleet (480 directors, 2,700 hosts, 30 zones)
    #[arg(long, value_enum, default_value = "1/16")]
    pub step: Step,
    /// How long the fleet is watched once it is up
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(5..=300))]
    pub seconds: u64,
    /// For the script and the hollow parts
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Real directors, each a process
    #[arg(long = "real", value_name = "N", default_value_t = 2)]
    pub real_directors: usize,
    /// What goes wrong
    #[arg(long, value_enum, default_value_t)]
    pub fault: Fault,
    /// How long it stays so
    #[arg(long, value_name = "SECONDS", default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=600))]
    pub fault_seconds: u64,
    /// The program that a real director is
    #[arg(long, value_name = "FILE", default_value = "target/release/wingfold")]
    pub program: PathBuf,
    /// Print the table (also where nothing is said)
    #[arg(long)]
    pub table: bool,
    /// Write the report there as JSON; the table is then printed with --table only
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

/// Why a command could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The machine does not tell its limits.
    #[error(transparent)]
    Limits(#[from] LimitsError),
    /// The run would take too much.
    #[error(transparent)]
    Refused(#[from] Refusal),
}

impl RunOptions {
    /// The plan that these options ask for.
    pub fn plan(&self) -> Result<Plan, Refusal> {
        Plan::new(self.step, self.real_directors, Duration::from_secs(self.seconds), self.seed)
    }
}

/// Reads a command line. An option that does not exist is refused with those that do.
pub fn parse(words: impl IntoIterator<Item = String>) -> Result<Cli, clap::Error> {
    let words: Vec<String> = words.into_iter().collect();
    Cli::try_parse_from(&words).map_err(|mut error| {
        let command = words.get(1).cloned().unwrap_or_default();
        if error.kind() == ErrorKind::UnknownArgument {
            let exist = format!("options of `{command}`: {}", options_of(&command).join(", "));
            error.insert(ContextKind::Suggested, clap::error::ContextValue::StyledStrs(vec![exist.into()]));
        }
        error
    })
}

/// The options of a command.
fn options_of(command: &str) -> Vec<String> {
    let cli = Cli::command();
    let Some(command) = cli.find_subcommand(command) else { return Vec::new() };
    command.get_arguments().filter_map(|option| option.get_long()).map(|name| format!("--{name}")).collect()
}

/// Reads the command line and carries it out.
pub fn main() -> ExitCode {
    let cli = match parse(std::env::args()) {
        Ok(cli) => cli,
        Err(error) => error.exit(),
    };
    match carry_out(cli.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn carry_out(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Plan(options) => state_plan(&options),
    }
}

/// States the plan, and refuses it where it takes too much.
fn state_plan(options: &RunOptions) -> Result<(), CommandError> {
    let plan = options.plan()?;
    println!("{plan}");
    plan.check(&Machine::read()?)?;
    Ok(())
}
