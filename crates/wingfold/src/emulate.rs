//! `wingfold emulate`: scenarios in the emulator.

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

/// What can be done in the emulator.
#[derive(Debug, Subcommand)]
pub enum Emulate {
    /// Simulate a scenario with several seeds; exit code 1 if a rule was broken
    Run(Run),
    /// Report all that is wrong with scenarios
    Check {
        /// The scenarios, HCL
        scenarios: Vec<PathBuf>,
    },
}

/// Simulate a scenario with several seeds; exit code 1 if a rule was broken
#[derive(Args, Debug)]
pub struct Run {
    /// The scenario, HCL
    scenario: PathBuf,
    /// Seeds, such as 1..20 (both ends are simulated) or 7
    #[arg(long, default_value = "1..5")]
    seeds: String,
    /// Where tables (Markdown, CSV) and a chart (SVG) go; else the tables are printed
    #[arg(long)]
    out: Option<PathBuf>,
    /// Capture every director's calls into a folder below this one, by seed
    #[arg(long)]
    capture: Option<PathBuf>,
    /// Print the module's log lines of each run
    #[arg(long)]
    log: bool,
}

/// Why a scenario cannot be simulated.
#[derive(Debug, Error)]
enum EmulateError {
    /// A file or a directory cannot be used.
    #[error(transparent)]
    File(#[from] FileError),
    /// The scenario is wrong.
    #[error(transparent)]
    Scenario(#[from] Diagnostics),
    /// The range of seeds is wrong.
    #[error(transparent)]
    Seeds(#[from] SeedsError),
    /// A capture cannot be written.
    #[error(transparent)]
    Capture(io::Error),
}

/// A text that is no range of seeds.
#[derive(Debug, Error)]
#[error("`{text}` is no range of seeds: 1..20 or 7 is expected")]
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

/// Reads a range of seeds that contains both its ends, or a single seed.
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

/// Reads one end of a range of seeds; `1..=20` is understood as well.
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
        self.show(&experiment)?;
        Ok(report_broken_rules(&experiment))
    }

    /// Writes tables and chart into a directory, or prints the tables.
    fn show(&self, experiment: &Experiment) -> Result<(), FileError> {
        let Some(directory) = &self.out else {
            print!("{}", report::markdown(experiment));
            return Ok(());
        };
        report::write(experiment, directory).map_err(|problem| FileError::new(directory, problem))?;
        let service = experiment.mean(|result| result.service_ratio());
        println!(
            "service {:.4} ± {:.4}; tables and chart in {}",
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

/// Prints which rules were broken with which seed.
fn report_broken_rules(experiment: &Experiment) -> Outcome {
    let violations = experiment.violations();
    for violations_of_seed in &violations {
        eprintln!("seed {} broke: {violations_of_seed}", violations_of_seed.seed);
    }
    if violations.is_empty() {
        Outcome::Success
    } else {
        Outcome::Negative
    }
}

/// A bar on a terminal, nothing elsewhere.
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
