//! Writes the results of an experiment as tables (Markdown and CSV) and a chart (SVG).

mod chart;
mod csv;
mod markdown;

pub use chart::{chart, ChartError};
pub use csv::csv;
pub use markdown::markdown;

use crate::experiment::Experiment;
use std::io;
use std::path::{Path, PathBuf};

/// Writes the tables and the chart into a directory, which is created if it is missing. The files are named
/// after the scenario.
pub fn write(experiment: &Experiment, directory: &Path) -> io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let stem = file_stem(&experiment.scenario.name);
    let chart = |experiment| chart(experiment).map_err(io::Error::other);
    std::fs::write(file_path(directory, &stem, "md"), markdown(experiment))?;
    std::fs::write(file_path(directory, &stem, "csv"), csv(experiment))?;
    std::fs::write(file_path(directory, &stem, "svg"), chart(experiment)?)
}

fn file_path(directory: &Path, stem: &str, extension: &str) -> PathBuf {
    directory.join(format!("{stem}.{extension}"))
}

/// The name of a scenario with `_` in place of all characters that could have a meaning in a path.
fn file_stem(name: &str) -> String {
    let portable = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    name.chars().map(portable).collect()
}
