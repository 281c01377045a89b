//! `wingfold figures`: what figures there are, and a director's main ones in a terminal.

use crate::cli::Outcome;
use clap::Subcommand;
use serde::Deserialize;
use std::io::{IsTerminal, Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use wingfold_metrics::catalogue;

/// What can be asked of figures.
#[derive(Debug, Subcommand)]
pub enum Figures {
    /// List every figure: name, labels, unit, kind, meaning
    List {
        /// As a table in Markdown
        #[arg(long)]
        markdown: bool,
    },
    /// Show a director's main figures and what its silences mean, refreshed each second (once where the output is no
    /// terminal)
    Watch {
        /// The director's address, such as 10.0.0.4:8443
        address: String,
        /// So many times, then end
        #[arg(long)]
        times: Option<u64>,
    },
}

/// What `/figures` says.
#[derive(Debug, Deserialize)]
struct Page {
    director: String,
    at: f64,
    length: f64,
    figures: Vec<(String, Vec<String>, Vec<f64>)>,
    causes: Vec<Cause>,
}

#[derive(Debug, Deserialize)]
struct Cause {
    stage: String,
    call: Option<u64>,
    took_us: u64,
    failed: Option<String>,
}

impl Figures {
    /// Does it.
    pub fn run(self) -> Outcome {
        match self {
            Figures::List { markdown: true } => {
                print!("{}", catalogue::markdown());
                Outcome::Good
            }
            Figures::List { markdown: false } => {
                for metric in catalogue::CATALOGUE {
                    let labels = if metric.labels.is_empty() {
                        String::new()
                    } else {
                        format!(" by {}", metric.labels.join(", "))
                    };
                    println!(
                        "{:<22} {} in {}{labels}: {}",
                        metric.name,
                        metric.kind.name(),
                        metric.unit,
                        metric.description
                    );
                }
                Outcome::Good
            }
            Figures::Watch { address, times } => watch(&address, times),
        }
    }
}

fn watch(address: &str, times: Option<u64>) -> Outcome {
    let terminal = std::io::stdout().is_terminal();
    let times = times.unwrap_or(if terminal { u64::MAX } else { 1 });
    for turn in 0..times {
        if turn > 0 {
            std::thread::sleep(Duration::from_secs(1));
        }
        let page = match fetch(address) {
            Ok(page) => page,
            Err(problem) => {
                eprintln!("{address}: {problem}");
                // A director that restarts is looked for again, once it has been seen.
                if terminal && turn > 0 {
                    continue;
                }
                return Outcome::Unusable;
            }
        };
        let text = show(&page);
        let clear = if terminal { "\x1b[2J\x1b[H" } else { "" };
        // A reader that is gone ends it.
        if std::io::stdout().write_all(format!("{clear}{text}").as_bytes()).is_err() {
            return Outcome::Good;
        }
    }
    Outcome::Good
}

fn fetch(address: &str) -> Result<Page, String> {
    let place =
        std::net::ToSocketAddrs::to_socket_addrs(address).map_err(|problem| problem.to_string())?.next();
    let place = place.ok_or("the name has no address")?;
    let within = Duration::from_secs(2);
    let mut connection = TcpStream::connect_timeout(&place, within).map_err(|problem| problem.to_string())?;
    connection.set_read_timeout(Some(within)).map_err(|problem| problem.to_string())?;
    let head = format!("GET /figures HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    connection.write_all(head.as_bytes()).map_err(|problem| problem.to_string())?;
    let mut text = String::new();
    connection.take(16 << 20).read_to_string(&mut text).map_err(|problem| problem.to_string())?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or("no answer")?;
    if head.starts_with("HTTP/1.1 404") {
        return Err(
            "figures are switched off there (`figures { enabled = true }` in its own settings)".into()
        );
    }
    if !head.starts_with("HTTP/1.1 200") {
        return Err(head.lines().next().unwrap_or_default().into());
    }
    serde_json::from_str(body).map_err(|problem| problem.to_string())
}

impl Page {
    fn of(&self, name: &str, labels: &[&str]) -> Option<&[f64]> {
        let found = self.figures.iter().find(|(of, with, _)| of == name && with.iter().eq(labels));
        found.map(|(_, _, values)| &values[..])
    }

    fn one(&self, name: &str, labels: &[&str]) -> Option<f64> {
        self.of(name, labels).and_then(|values| values.first().copied())
    }

    fn labels(&self, name: &str, at: usize) -> Vec<&str> {
        let mut found: Vec<&str> = Vec::new();
        for (of, labels, _) in &self.figures {
            if let Some(label) = labels.get(at).filter(|label| of == name && !found.contains(&label.as_str()))
            {
                found.push(label);
            }
        }
        found
    }
}

/// A value that may not be known.
fn value(value: Option<f64>, digits: usize) -> String {
    value.map_or("-".into(), |value| format!("{value:.digits$}"))
}

fn state(number: Option<f64>) -> &'static str {
    match number {
        Some(0.0) => "heard",
        Some(1.0) => "quiet",
        Some(2.0) => "SILENT",
        Some(3.0) => "CUT",
        _ => "-",
    }
}

fn show(page: &Page) -> String {
    let mut out = String::new();
    let mut line = |text: String| {
        out.push_str(&text);
        out.push('\n');
    };
    if page.figures.is_empty() {
        line(format!("{}: no interval has ended yet", page.director));
        return out;
    }
    let at = std::time::UNIX_EPOCH + Duration::from_secs_f64(page.at.max(0.0));
    let at = humantime::format_rfc3339_seconds(at);
    line(format!(
        "{} at {at}, the last {:.0} s; up {} s",
        page.director,
        page.length,
        value(page.one("director.up", &[]), 0)
    ));
    let p = |name: &str, at: usize, digits: usize| {
        value(page.of(name, &[]).and_then(|values| values.get(at).copied()), digits)
    };
    line(format!(
        "tables written p50 {} p99 {} max {} ms; module p99 {} us; channel {} lines (most {}); let in {}; list {} s old",
        p("table.written", 1, 1),
        p("table.written", 3, 1),
        p("table.written", 4, 1),
        p("module.time", 3, 0),
        value(page.one("channel.depth", &[]), 0),
        value(page.one("channel.most", &[]), 0),
        value(page.one("admitted", &[]), 2),
        value(page.one("list.age", &[]), 0)
    ));
    line(String::new());
    line(format!(
        "{:<16} {:>8} {:>7} {:>6} {:>10} {:>8}  {:>7} {:>4} {:>4} {:>4} {:>4} {:>4}  {}",
        "zone",
        "sums",
        "age s",
        "lag s",
        "collector",
        "proxies",
        "leading",
        "1/2",
        "1/4",
        "out",
        "cold",
        "left",
        "class: state asked refused lost level"
    ));
    for zone in page.labels("news.zone.state", 0) {
        let one = |name: &str, digits| value(page.one(name, &[zone]), digits);
        let classes: Vec<String> = page
            .labels("news.class.state", 1)
            .into_iter()
            .map(|class| {
                let of = |name: &str, digits| value(page.one(name, &[zone, class]), digits);
                format!(
                    "{class}: {} {} {} {} {}",
                    state(page.one("news.class.state", &[zone, class])),
                    of("service.asked", 0),
                    of("service.refused", 0),
                    of("service.lost", 0),
                    of("level", 2)
                )
            })
            .collect();
        line(format!(
            "{zone:<16} {:>8} {:>7} {:>6} {:>10} {:>8}  {:>7} {:>4} {:>4} {:>4} {:>4} {:>4}  {}",
            state(page.one("news.zone.state", &[zone])),
            one("news.zone.age", 1),
            one("news.zone.lag", 1),
            state(page.one("news.collector.state", &[zone])),
            one("proxies.joined", 0),
            one("hosts.leading", 0),
            one("hosts.halved", 0),
            one("hosts.quartered", 0),
            one("hosts.out", 0),
            one("hosts.cold", 0),
            one("hosts.draining", 0),
            classes.join("; ")
        ));
    }
    for receiver in page.labels("sink.sent", 0) {
        let dropped: f64 = page
            .figures
            .iter()
            .filter(|(of, with, _)| of == "sink.dropped" && with[0] == receiver)
            .map(|f| f.2[0])
            .sum();
        line(format!(
            "receiver {receiver}: {} bytes sent, {} wait, {dropped:.0} intervals dropped, {} cuts",
            value(page.one("sink.sent", &[receiver]), 0),
            value(page.one("sink.waiting", &[receiver]), 0),
            value(page.one("sink.cuts", &[receiver]), 0)
        ));
    }
    for cause in page.causes.iter().take(12) {
        let call = cause.call.map_or(String::new(), |call| format!(" in call {call}"));
        let failed = cause.failed.as_ref().map_or(String::new(), |failed| format!(": {failed}"));
        line(format!("{}{call}: {} us{failed}", cause.stage, cause.took_us));
    }
    out
}
