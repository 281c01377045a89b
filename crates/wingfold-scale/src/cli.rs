//! The command line: its options, the commands `plan`, `run` and `ladder`, and their exit codes.

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

/// Time limit of all runs of a ladder together.
const LADDER_TIME_LIMIT: Duration = Duration::from_secs(600);
/// Worker threads of the simulated components, limited because the real directors need cores too.
const WORKER_THREADS: usize = 3;

const EXAMPLES: &str = "\
Exit codes: 0 success; 1 a run was rejected or failed, or simulated and real directors differ;
2 invalid command line.

Examples:
  wingfold-scale plan --step 1
  wingfold-scale run --step 1/4 --fault restart-quarter --json target/scale.json
  wingfold-scale ladder --out target/scale";

/// The parsed command line.
#[derive(Debug, Parser)]
#[command(
    name = "wingfold-scale",
    version,
    about = "Runs a few real directors in a fleet of simulated directors, proxies, collectors and hosts"
)]
#[command(after_help = EXAMPLES)]
pub struct Cli {
    /// The command to execute.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands and their options.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Print the resources that a run needs, and fail if this machine does not allow them
    Plan(RunOptions),
    /// Run a fleet of one size, with or without a fault
    Run(RunOptions),
    /// Run fleets of all sizes without a fault, then a fleet of one size with each fault
    Ladder(LadderOptions),
}

/// Options of the commands `plan` and `run`.
#[derive(Args, Clone, Debug)]
pub struct RunOptions {
    /// Size of the fleet, as a fraction of the full fleet (480 directors, 2,700 hosts, 30 zones)
    #[arg(long, value_enum, default_value = "1/16")]
    pub step: Step,
    /// Seconds that the fleet is measured for after its start
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(5..=300))]
    pub seconds: u64,
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of real directors, each a process
    #[arg(long = "real", value_name = "N", default_value_t = 2)]
    pub real_directors: usize,
    /// Fault to inject
    #[arg(long, value_enum, default_value_t)]
    pub fault: Fault,
    /// Duration of the fault
    #[arg(long, value_name = "SECONDS", default_value_t = 8)]
    #[arg(value_parser = clap::value_parser!(u64).range(1..=600))]
    pub fault_seconds: u64,
    /// Executable of the real directors
    #[arg(long, value_name = "FILE", default_value = "target/release/wingfold")]
    pub program: PathBuf,
    /// Print the report as tables (the default unless --json is given)
    #[arg(long)]
    pub table: bool,
    /// Write the report to this file as JSON; tables are then printed only with --table
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

/// Options of the command `ladder`.
#[derive(Args, Clone, Debug)]
pub struct LadderOptions {
    /// Directory for the reports (JSON) and the tables (text)
    #[arg(long, value_name = "DIR", default_value = "target/scale")]
    pub out: PathBuf,
    /// Seconds that each fleet is measured for after its start
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(5..=60))]
    pub seconds: u64,
    /// Seed of all random choices, the same in each run
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of real directors in each run
    #[arg(long = "real", value_name = "N", default_value_t = 2)]
    pub real_directors: usize,
    /// Size of the fleet in the runs with a fault
    #[arg(long, value_enum, value_name = "STEP", default_value = "1/4")]
    pub fault_step: Step,
    /// Duration of each fault
    #[arg(long, value_name = "SECONDS", default_value_t = 8)]
    #[arg(value_parser = clap::value_parser!(u64).range(1..=30))]
    pub fault_seconds: u64,
    /// Executable of the real directors
    #[arg(long, value_name = "FILE", default_value = "target/release/wingfold")]
    pub program: PathBuf,
}

impl LadderOptions {
    /// Returns the ladder that these options describe, with every fault that exists.
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

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A run was rejected, failed or was interrupted.
    #[error(transparent)]
    Run(#[from] RunError),
    /// Metrics of simulated directors differ from those of real ones by more than the tolerance.
    #[error("simulated and real directors differ by more than the tolerance in: {0}")]
    Differs(String),
    /// A report or a table cannot be written.
    #[error("{} cannot be written: {problem}", path.display())]
    Output {
        /// The file or directory.
        path: PathBuf,
        /// Why writing failed.
        problem: io::Error,
    },
    /// The ladder has exceeded its time limit.
    #[error("the ladder exceeded its time limit of {} s", LADDER_TIME_LIMIT.as_secs())]
    LadderOverrun,
    /// The async runtime cannot be started, or its signal handlers cannot be installed.
    #[error("the async runtime or its signal handlers cannot be started: {0}")]
    Runtime(io::Error),
    /// The limits of the machine cannot be read.
    #[error(transparent)]
    Limits(#[from] LimitsError),
    /// The plan is invalid or exceeds a limit of the machine.
    #[error(transparent)]
    Rejected(#[from] PlanError),
}

impl RunOptions {
    /// Returns the plan that these options describe.
    pub fn plan(&self) -> Result<Plan, PlanError> {
        Plan::new(self.step, self.real_directors, Duration::from_secs(self.seconds), self.seed)
    }

    /// Returns the run that these options describe.
    pub fn run(&self) -> Result<Run, PlanError> {
        let fault = FaultPlan { fault: self.fault, duration: Duration::from_secs(self.fault_seconds) };
        Ok(Run { plan: self.plan()?, program: self.program.clone(), fault, timeouts: Timeouts::default() })
    }
}

/// Parses a command line. The error for an unknown option lists the options of the command.
pub fn parse(arguments: impl IntoIterator<Item = String>) -> Result<Cli, clap::Error> {
    let arguments: Vec<String> = arguments.into_iter().collect();
    Cli::try_parse_from(&arguments).map_err(|mut error| {
        let command = arguments.get(1).cloned().unwrap_or_default();
        if error.kind() == ErrorKind::UnknownArgument {
            let options = format!("options of `{command}`: {}", option_names(&command).join(", "));
            error.insert(ContextKind::Suggested, clap::error::ContextValue::StyledStrs(vec![options.into()]));
        }
        error
    })
}

/// Returns the long options of a command; none for an unknown command.
fn option_names(command: &str) -> Vec<String> {
    let cli = Cli::command();
    let Some(command) = cli.find_subcommand(command) else { return Vec::new() };
    command.get_arguments().filter_map(|option| option.get_long()).map(|name| format!("--{name}")).collect()
}

/// Parses the command line of the process and executes the command.
pub fn main() -> ExitCode {
    let cli = match parse(std::env::args()) {
        Ok(cli) => cli,
        Err(error) => error.exit(),
    };
    let subscriber = tracing_subscriber::fmt().with_ansi(false).with_writer(io::stderr);
    subscriber.with_max_level(tracing::Level::INFO).init();
    match execute(cli.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn execute(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Plan(options) => print_plan(&options),
        Command::Run(options) => runtime()?.block_on(run(&options)),
        Command::Ladder(options) => runtime()?.block_on(ladder(&options)),
    }
}

/// Executes one run, and prints or writes its report.
async fn run(options: &RunOptions) -> Result<(), CommandError> {
    let run = options.run()?;
    println!("{}", run.plan);
    let report = run.execute(interruption().map_err(CommandError::Runtime)?).await?;
    if options.table || options.json.is_none() {
        println!("{report}");
    }
    if let Some(path) = &options.json {
        write_json(path, &report)?;
    }
    check_comparisons(&report)
}

/// Executes the runs of the ladder; the report of each and the tables so far are written after each run.
async fn ladder(options: &LadderOptions) -> Result<(), CommandError> {
    let (runs, begun) = (options.ladder().runs()?, Instant::now());
    let output_error = |problem| CommandError::Output { path: options.out.clone(), problem };
    std::fs::create_dir_all(&options.out).map_err(output_error)?;
    let signals = interruption().map_err(CommandError::Runtime)?;
    let mut interrupted = pin!(async {
        tokio::select! {
            () = signals => {}
            () = tokio::time::sleep(LADDER_TIME_LIMIT) => {}
        }
    });
    let (mut reports, mut differences) = (Vec::new(), Vec::new());
    for run in &runs {
        println!("{}", run.plan);
        let report = run.execute(&mut interrupted).await.map_err(|error| match error {
            RunError::Interrupted if begun.elapsed() >= LADDER_TIME_LIMIT => CommandError::LadderOverrun,
            error => CommandError::Run(error),
        })?;
        println!("{report}");
        write_json(&options.out.join(ladder::report_name(run) + ".json"), &report)?;
        let differing = report.differences();
        differences.extend(
            differing.iter().map(|comparison| format!("{} of step {}", comparison.metric, report.step)),
        );
        reports.push(report);
        write_tables(&options.out.join("scale-ladder.txt"), &reports)?;
    }
    println!("{}", Summary(&reports));
    match differences.is_empty() {
        true => Ok(()),
        false => Err(CommandError::Differs(differences.join("; "))),
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
    let differences = report.differences();
    let metrics: Vec<String> = differences.iter().map(|comparison| comparison.metric.to_string()).collect();
    match metrics.is_empty() {
        true => Ok(()),
        false => Err(CommandError::Differs(metrics.join(", "))),
    }
}

fn runtime() -> Result<Runtime, CommandError> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(WORKER_THREADS).enable_all().build().map_err(CommandError::Runtime)
}

/// Returns a future that completes when the process receives SIGINT or SIGTERM.
fn interruption() -> io::Result<impl Future<Output = ()>> {
    let (mut interrupt, mut terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    Ok(async move {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    })
}

/// Prints the plan, then fails if it exceeds a limit of the machine.
fn print_plan(options: &RunOptions) -> Result<(), CommandError> {
    let plan = options.plan()?;
    println!("{plan}");
    plan.check(&MachineLimits::read()?)?;
    Ok(())
}
