//! `wingfold lab`: scenarios in the emulator.

use crate::cli::Outcome;
use crate::say;
use clap::Subcommand;
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use wingfold_emulator::experiment::Experiment;
use wingfold_emulator::{report, RunResult, Scenario};

/// What can be done in the emulator.
#[derive(Debug, Subcommand)]
pub enum Lab {
    /// Play a scenario with several seeds; exit code 1 if a rule was broken
    Run {
        /// The scenario, HCL
        scenario: PathBuf,
        /// Seeds, such as 1..20 (both ends are played) or 7
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
    },
    /// Tell all that is wrong with scenarios
    Check {
        /// The scenarios, HCL
        scenarios: Vec<PathBuf>,
    },
}

fn read(path: &Path) -> Result<Scenario, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|problem| format!("{name}: {problem}"))?;
    Scenario::read(&name, &text).map_err(|faults| faults.to_string())
}

fn seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let wrong = || format!("`{text}` is no range of seeds: 1..20 or 7 is expected");
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let number = |text: &str| text.trim_start_matches('=').parse::<u64>().map_err(|_| wrong());
    let (first, last) = (number(first)?, number(last)?);
    if first > last {
        Err(wrong())
    } else {
        Ok(first..=last)
    }
}

impl Lab {
    /// Does it.
    pub fn run(self) -> Outcome {
        let done = match self {
            Lab::Run { scenario, seeds, out, capture, log } => {
                run_experiment(&scenario, &seeds, out.as_deref(), capture.as_deref(), log)
            }
            Lab::Check { scenarios } => Ok(check(&scenarios)),
        };
        done.unwrap_or_else(|problem| {
            eprintln!("{problem}");
            Outcome::Unusable
        })
    }
}

fn check(scenarios: &[PathBuf]) -> Outcome {
    let faults: Vec<String> = scenarios.iter().filter_map(|path| read(path).err()).collect();
    faults.iter().for_each(|fault| eprintln!("{fault}"));
    if faults.is_empty() {
        Outcome::Good
    } else {
        Outcome::Unusable
    }
}

fn run_experiment(
    path: &Path,
    seeds_text: &str,
    out: Option<&Path>,
    capture: Option<&Path>,
    log: bool,
) -> Result<Outcome, String> {
    let (scenario, range) = (read(path)?, seeds(seeds_text)?);
    let bar = progress_bar(&range);
    let progress = |seed: u64, result: &RunResult| {
        bar.inc(1);
        for line in result.log.iter().filter(|_| log) {
            println!("seed {seed} director {} {}: {}", line.director, say::time(line.at), line.text);
        }
    };
    let experiment = Experiment::run(scenario, range, capture, progress);
    let experiment = experiment.map_err(|problem| problem.to_string())?;
    bar.finish_and_clear();
    show(&experiment, out)?;
    let broken = experiment.violations();
    for violations in &broken {
        eprintln!("seed {} broke: {violations}", violations.seed);
    }
    Ok(if broken.is_empty() { Outcome::Good } else { Outcome::Different })
}

/// A bar on a terminal, nothing elsewhere.
fn progress_bar(seeds: &RangeInclusive<u64>) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{bar:40} seed {pos}/{len} {eta}");
    let style = style.unwrap_or_else(|_| ProgressStyle::default_bar());
    ProgressBar::new(seeds.end() - seeds.start() + 1).with_style(style)
}

/// Writes tables and chart into a folder, or prints the tables.
fn show(experiment: &Experiment, folder: Option<&Path>) -> Result<(), String> {
    let Some(folder) = folder else {
        print!("{}", report::markdown(experiment));
        return Ok(());
    };
    report::write(experiment, folder).map_err(|problem| format!("{}: {problem}", folder.display()))?;
    let service = experiment.mean(|result| result.service_ratio());
    println!(
        "service {:.4} ± {:.4}; tables and chart in {}",
        service.mean,
        service.half_width,
        folder.display()
    );
    Ok(())
}

#[cfg(test)]
mod tests;
