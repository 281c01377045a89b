//! `wingfold metrics`: lists the catalogue of metrics, and shows the main metrics of a running director.

mod page;
mod view;

use crate::cli::Outcome;
use clap::Subcommand;
use page::Page;
use std::io::{self, IsTerminal, Write};
use std::thread;
use std::time::Duration;
use wingfold_metrics::catalogue::{self, MetricDescriptor};

/// The time between two refreshes of `metrics watch`.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Escape sequences that clear a terminal and move the cursor to its top left corner.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// The subcommands of `wingfold metrics`.
#[derive(Debug, Subcommand)]
pub enum Metrics {
    /// List every metric: name, kind, unit, labels and description
    List {
        /// Print the list as a Markdown table
        #[arg(long)]
        markdown: bool,
    },
    /// Show the main metrics of a director, and whether zones, collectors and classes report to it. Refreshes
    /// every second, or prints once if the output is not a terminal
    Watch {
        /// The director's address, such as 10.0.0.4:8443
        address: String,
        /// Exit after this many refreshes
        #[arg(long)]
        times: Option<u64>,
    },
}

impl Metrics {
    /// Runs the command.
    pub fn run(self) -> Outcome {
        match self {
            Metrics::List { markdown: true } => print!("{}", catalogue::markdown()),
            Metrics::List { markdown: false } => {
                for metric in catalogue::CATALOGUE {
                    println!("{}", metric_line(metric));
                }
            }
            Metrics::Watch { address, times } => return watch(&address, times),
        }
        Outcome::Success
    }
}

fn metric_line(metric: &MetricDescriptor) -> String {
    let labels =
        if metric.labels.is_empty() { String::new() } else { format!(" by {}", metric.labels.join(", ")) };
    format!("{:<22} {} in {}{labels}: {}", metric.name, metric.kind.name(), metric.unit, metric.description)
}

/// Shows a director's metrics `times` times. Without `times`, shows them until interrupted on a terminal, and
/// once elsewhere.
fn watch(address: &str, times: Option<u64>) -> Outcome {
    let is_terminal = io::stdout().is_terminal();
    let times = times.unwrap_or(if is_terminal { u64::MAX } else { 1 });
    for refresh in 0..times {
        let is_first = refresh == 0;
        if !is_first {
            thread::sleep(REFRESH_INTERVAL);
        }
        match Page::fetch(address) {
            Ok(page) => {
                let is_shown = show(&page, is_terminal);
                // The output was closed, as by `head` at the end of a pipe.
                if is_shown.is_err() {
                    return Outcome::Success;
                }
            }
            Err(error) => {
                eprintln!("{address}: {error}");
                // The director may be restarting: on a terminal, only a failure of the first fetch is final.
                let may_retry = is_terminal && !is_first;
                if !may_retry {
                    return Outcome::Failure;
                }
            }
        }
    }
    Outcome::Success
}

fn show(page: &Page, is_terminal: bool) -> io::Result<()> {
    let clear = if is_terminal { CLEAR_SCREEN } else { "" };
    let text = view::render(page);
    io::stdout().write_all(format!("{clear}{text}").as_bytes())
}
