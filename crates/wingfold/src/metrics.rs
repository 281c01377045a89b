//! `wingfold metrics`: the catalogue of metrics, and a director's main ones in a terminal.

mod page;
mod view;

use crate::cli::Outcome;
use clap::Subcommand;
use page::Page;
use std::io::{self, IsTerminal, Write};
use std::thread;
use std::time::Duration;
use wingfold_metrics::catalogue::{self, MetricDescriptor};

/// Between two views of a director.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Clears a terminal and moves its cursor to the top.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// What can be done with metrics.
#[derive(Debug, Subcommand)]
pub enum Metrics {
    /// List every metric: name, labels, unit, kind, meaning
    List {
        /// As a table in Markdown
        #[arg(long)]
        markdown: bool,
    },
    /// Show a director's main metrics and what its silences mean, refreshed each second (once where the
    /// output is no terminal)
    Watch {
        /// The director's address, such as 10.0.0.4:8443
        address: String,
        /// So many times, then end
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

/// Shows a director's metrics `times` times; else for good on a terminal, and once elsewhere.
fn watch(address: &str, times: Option<u64>) -> Outcome {
    let is_terminal = io::stdout().is_terminal();
    let times = times.unwrap_or(if is_terminal { u64::MAX } else { 1 });
    for turn in 0..times {
        let is_first = turn == 0;
        if !is_first {
            thread::sleep(REFRESH_INTERVAL);
        }
        match Page::fetch(address) {
            Ok(page) => {
                let is_shown = show(&page, is_terminal);
                // The reader of the output is gone.
                if is_shown.is_err() {
                    return Outcome::Success;
                }
            }
            Err(error) => {
                eprintln!("{address}: {error}");
                // A director that has been seen may restart: it is polled again.
                let retry = is_terminal && !is_first;
                if !retry {
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
