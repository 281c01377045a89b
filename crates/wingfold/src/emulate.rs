//! `wingfold emulate`: checks and simulates scenarios of the emulator.

use crate::cli::Outcome;
use crate::file_error::{read_text, FileError};
use crate::format;
use clap::{Args, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use std::io::{self, IsTerminal};
use std::num::ParseIntError;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use thiserror::Error;
use wingfold_emulator::experiment::Experiment;
use wingfold_emulator::{report, RunResult, Scenario};
use wingfold_settings::hcl::Diagnostics;

/// The subcommands of `wingfold emulate`.
#[derive(Debug, Subcommand)]
pub enum Emulate {
    /// Simulate a scenario once for each seed. Exit code 1 if a run violated an invariant
    Run(Run),
    /// Check scenario files and report every error in them
    Check {
        /// The scenario files (HCL)
        scenarios: Vec<PathBuf>,
    },
}

/// Simulate a scenario once for each seed. Exit code 1 if a run violated an invariant
#[derive(Args, Debug)]
pub struct Run {
    /// The scenario file (HCL)
    scenario: PathBuf,
    /// The seeds: a range that includes both ends, such as 1..20, or one seed, such as 7
    #[arg(long, default_value = "1..5")]
    seeds: String,
    /// Write tables (Markdown, CSV) and a chart (SVG) to this directory; without it, print the tables
    #[arg(long)]
    out: Option<PathBuf>,
    /// Write captures of all directors to this directory, in one subdirectory per seed
    #[arg(long)]
    capture: Option<PathBuf>,
    /// Print the log lines of the decision module in each run
    #[arg(long)]
    log: bool,
}

/// Why a scenario cannot be checked or simulated.
#[derive(Debug, Error)]
enum EmulateError {
    /// A file or a directory cannot be used.
    #[error(transparent)]
    File(#[from] FileError),
    /// The scenario has errors.
    #[error(transparent)]
    Scenario(#[from] Diagnostics),
    /// The range of seeds is invalid.
    #[error(transparent)]
    Seeds(#[from] SeedsError),
    /// A capture cannot be written.
    #[error("cannot write a capture: {0}")]
    Capture(io::Error),
}

/// A text that cannot be parsed as a range of seeds.
#[derive(Debug, Error)]
#[error("`{text}` is not a range of seeds: expected a range such as 1..20, or one seed such as 7")]
struct SeedsError {
    text: String,
}

impl Emulate {
    /// Runs the command.
    pub fn run(self) -> Outcome {
        match self {
            Emulate::Run(run) => Outcome::from_result(run.run()),
            Emulate::Check { scenarios } => check(&scenarios),
        }
    }
}

fn check(scenarios: &[PathBuf]) -> Outcome {
    let errors: Vec<EmulateError> = scenarios.iter().filter_map(|path| read_scenario(path).err()).collect();
    for error in &errors {
        eprintln!("{error}");
    }
    if errors.is_empty() {
        Outcome::Success
    } else {
        Outcome::Failure
    }
}

fn read_scenario(path: &Path) -> Result<Scenario, EmulateError> {
    let text = read_text(path)?;
    Ok(Scenario::read(&path.display().to_string(), &text)?)
}

/// Parses a range of seeds, which includes both ends, or a single seed.
fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, SeedsError> {
    let error = || SeedsError { text: text.to_string() };
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let first = parse_seed(first).map_err(|_| error())?;
    let last = parse_seed(last).map_err(|_| error())?;
    if first > last {
        return Err(error());
    }
    Ok(first..=last)
}

/// Parses one end of a range of seeds. A leading `=` is ignored, so that `1..=20` is valid too.
fn parse_seed(text: &str) -> Result<u64, ParseIntError> {
    text.trim_start_matches('=').parse()
}

impl Run {
    fn run(&self) -> Result<Outcome, EmulateError> {
        let scenario = read_scenario(&self.scenario)?;
        let seeds = parse_seeds(&self.seeds)?;
        let bar = progress_bar(&seeds);
        let progress = |seed: u64, result: &RunResult| {
            bar.inc(1);
            if self.log {
                print_log(seed, result);
            }
        };
        let experiment = Experiment::run(scenario, seeds, self.capture.as_deref(), progress)
            .map_err(EmulateError::Capture)?;
        bar.finish_and_clear();
        self.write_or_print(&experiment)?;
        Ok(report_violations(&experiment))
    }

    /// Writes tables and chart to the directory of `--out`, or prints the tables.
    fn write_or_print(&self, experiment: &Experiment) -> Result<(), FileError> {
        let Some(directory) = &self.out else {
            print!("{}", report::markdown(experiment));
            return Ok(());
        };
        report::write(experiment, directory).map_err(|error| FileError::new(directory, error))?;
        let service = experiment.mean(|result| result.service_ratio());
        println!(
            "service ratio {:.4} ± {:.4}; tables and chart in {}",
            service.mean,
            service.half_width,
            directory.display()
        );
        Ok(())
    }
}

fn print_log(seed: u64, result: &RunResult) {
    for line in &result.log {
        println!("seed {seed} director {} {}: {}", line.director, format::time(line.at), line.text);
    }
}

/// Prints the invariants that were violated, by seed.
fn report_violations(experiment: &Experiment) -> Outcome {
    let violations = experiment.violations();
    for violations_of_seed in &violations {
        eprintln!("seed {} violated invariants: {violations_of_seed}", violations_of_seed.seed);
    }
    if violations.is_empty() {
        Outcome::Success
    } else {
        Outcome::Negative
    }
}

/// A progress bar, hidden if standard error is not a terminal.
fn progress_bar(seeds: &RangeInclusive<u64>) -> ProgressBar {
    if !io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{bar:40} seed {pos}/{len} {eta}");
    let style = style.unwrap_or_else(|_| ProgressStyle::default_bar());
    ProgressBar::new(seeds.end() - seeds.start() + 1).with_style(style)
}

#[cfg(test)]
mod tests;
