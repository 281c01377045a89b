//! The command line.

use crate::faults::Fault;
use crate::ladder::{self, Ladder, Summary};
use crate::limits::{LimitsError, MachineLimits, PlanError};
use crate::plan::{Plan, Step};
use crate::report::Report;
use crate::run::{Run, RunError, Timeouts};
use crate::script::FaultPlan;
use clap::error::{ContextKind, ErrorKind};
use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use std::future::Future;
use std::io;
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, SignalKind};

/// The whole ladder takes no longer than this.
const LADDER_TIME_LIMIT: Duration = Duration::from_secs(600);
/// Threads of the simulated parts; real directors need cores too.
const WORKER_THREADS: usize = 3;

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
    /// Play one step of the ladder
    Run(RunOptions),
    /// Play every step, and each fault on one of them
    Ladder(LadderOptions),
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

/// Options of the ladder.
#[derive(Args, Clone, Debug)]
pub struct LadderOptions {
    /// Where reports (JSON) and tables go
    #[arg(long, value_name = "DIR", default_value = "target/scale")]
    pub out: PathBuf,
    /// How long each fleet is watched once it is up
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(5..=60))]
    pub seconds: u64,
    /// For the scripts and the hollow parts
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Real directors of each run
    #[arg(long = "real", value_name = "N", default_value_t = 2)]
    pub real_directors: usize,
    /// The step that faults are played on
    #[arg(long, value_enum, value_name = "STEP", default_value = "1/4")]
    pub fault_step: Step,
    /// How long a fault lasts
    #[arg(long, value_name = "SECONDS", default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=30))]
    pub fault_seconds: u64,
    /// The program that a real director is
    #[arg(long, value_name = "FILE", default_value = "target/release/wingfold")]
    pub program: PathBuf,
}

impl LadderOptions {
    /// The ladder that these options ask for: all faults that there are.
    pub fn ladder(&self) -> Ladder {
        let faults = Fault::value_variants().iter().copied().filter(|fault| *fault != Fault::None);
        Ladder {
            duration: Duration::from_secs(self.seconds),
            seed: self.seed,
            real_directors: self.real_directors,
            program: self.program.clone(),
            faults: faults.collect(),
            fault_step: self.fault_step,
            fault_duration: Duration::from_secs(self.fault_seconds),
        }
    }
}

/// Why a command could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A run has failed.
    #[error(transparent)]
    Run(#[from] RunError),
    /// Simulated directors differ from real ones.
    #[error("hollow and real directors differ in: {0}")]
    Differs(String),
    /// A report cannot be written.
    #[error("{}: {problem}", path.display())]
    Output {
        /// Where to.
        path: PathBuf,
        /// Why not.
        problem: io::Error,
    },
    /// The ladder takes longer than it may.
    #[error("the ladder was not over within {} s", LADDER_TIME_LIMIT.as_secs())]
    LadderOverrun,
    /// The runtime or its signals cannot be had.
    #[error("the runtime cannot be started: {0}")]
    Runtime(io::Error),
    /// The machine does not tell its limits.
    #[error(transparent)]
    Limits(#[from] LimitsError),
    /// The run would take too much.
    #[error(transparent)]
    Rejected(#[from] PlanError),
}

impl RunOptions {
    /// The plan that these options ask for.
    pub fn plan(&self) -> Result<Plan, PlanError> {
        Plan::new(self.step, self.real_directors, Duration::from_secs(self.seconds), self.seed)
    }

    /// The run that these options ask for.
    pub fn run(&self) -> Result<Run, PlanError> {
        let fault = FaultPlan { fault: self.fault, duration: Duration::from_secs(self.fault_seconds) };
        Ok(Run { plan: self.plan()?, program: self.program.clone(), fault, timeouts: Timeouts::default() })
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
    let lines = tracing_subscriber::fmt().with_ansi(false).with_writer(io::stderr);
    lines.with_max_level(tracing::Level::INFO).init();
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
        Command::Run(options) => runtime()?.block_on(run(&options)),
        Command::Ladder(options) => runtime()?.block_on(ladder(&options)),
    }
}

/// Plays one run and shows its report.
async fn run(options: &RunOptions) -> Result<(), CommandError> {
    let run = options.run()?;
    println!("{}", run.plan);
    let report = run.play(interrupted().map_err(CommandError::Runtime)?).await?;
    if options.table || options.json.is_none() {
        println!("{report}");
    }
    if let Some(path) = &options.json {
        write_json(path, &report)?;
    }
    check_comparisons(&report)
}

/// Plays the ladder; what is measured is written after each run.
async fn ladder(options: &LadderOptions) -> Result<(), CommandError> {
    let (runs, begun) = (options.ladder().runs()?, Instant::now());
    let output = |problem| CommandError::Output { path: options.out.clone(), problem };
    std::fs::create_dir_all(&options.out).map_err(output)?;
    let signals = interrupted().map_err(CommandError::Runtime)?;
    let mut ended = pin!(async {
        tokio::select! {
            () = signals => {}
            () = tokio::time::sleep(LADDER_TIME_LIMIT) => {}
        }
    });
    let (mut reports, mut differ) = (Vec::new(), Vec::new());
    for run in &runs {
        println!("{}", run.plan);
        let report = run.play(&mut ended).await.map_err(|error| match error {
            RunError::Interrupted if begun.elapsed() >= LADDER_TIME_LIMIT => CommandError::LadderOverrun,
            error => CommandError::Run(error),
        })?;
        println!("{report}");
        write_json(&options.out.join(ladder::report_name(run) + ".json"), &report)?;
        let differences = report.differences();
        differ.extend(
            differences.iter().map(|comparison| format!("{} of step {}", comparison.metric, report.step)),
        );
        reports.push(report);
        write_tables(&options.out.join("scale-ladder.txt"), &reports)?;
    }
    println!("{}", Summary(&reports));
    match differ.is_empty() {
        true => Ok(()),
        false => Err(CommandError::Differs(differ.join("; "))),
    }
}

fn write_tables(path: &Path, reports: &[Report]) -> Result<(), CommandError> {
    let tables: Vec<String> = reports.iter().map(Report::to_string).collect();
    let text = format!("{}\n{}", Summary(reports), tables.join("\n"));
    std::fs::write(path, text).map_err(|problem| CommandError::Output { path: path.into(), problem })
}

fn write_json(path: &Path, report: &Report) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(report).expect("a report is plain JSON");
    std::fs::write(path, text + "\n").map_err(|problem| CommandError::Output { path: path.into(), problem })
}

fn check_comparisons(report: &Report) -> Result<(), CommandError> {
    let differ: Vec<&str> = report.differences().iter().map(|comparison| comparison.metric).collect();
    match differ.is_empty() {
        true => Ok(()),
        false => Err(CommandError::Differs(differ.join(", "))),
    }
}

fn runtime() -> Result<Runtime, CommandError> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(WORKER_THREADS).enable_all().build().map_err(CommandError::Runtime)
}

/// Ends when the process is asked to end.
fn interrupted() -> io::Result<impl Future<Output = ()>> {
    let (mut interrupt, mut terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    Ok(async move {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    })
}

/// States the plan, and refuses it where it takes too much.
fn state_plan(options: &RunOptions) -> Result<(), CommandError> {
    let plan = options.plan()?;
    println!("{plan}");
    plan.check(&MachineLimits::read()?)?;
    Ok(())
}
