//! Cases: a kept capture and what must hold in it, whichever build replays it.

use crate::reader::Entry;
use crate::replay::{Mode, Replayer};
use std::time::Duration;
use wingfold_director::inspect::HostStatus;
use wingfold_director::interface::{HostId, Timestamp, ZoneId};
use wingfold_director::Director;
use wingfold_settings::hcl::{self, Block, Diagnostics};

/// What must hold of a host or a class in a span of time.
#[derive(Clone, Debug, PartialEq)]
pub enum Must {
    /// A host is in none of a zone's tables.
    Out {
        /// The host.
        host: String,
        /// The zone; `None`: no zone's.
        zone: Option<String>,
    },
    /// A host's part of the weight of each of a zone's tables lies in these bounds.
    Share {
        /// The host.
        host: String,
        /// The zone.
        zone: Option<String>,
        /// At least.
        least: f64,
        /// At most.
        most: f64,
    },
    /// A zone treats a host so: leading, halved, out, trial, leaving.
    Standing {
        /// The host.
        host: String,
        /// The zone.
        zone: Option<String>,
        /// How.
        is: &'static str,
    },
    /// The level of a class lies in these bounds.
    Level {
        /// The class.
        class: String,
        /// The zone.
        zone: Option<String>,
        /// At least.
        least: f64,
        /// At most.
        most: f64,
    },
}

/// One expectation.
#[derive(Clone, Debug, PartialEq)]
pub struct Expect {
    /// What must hold.
    pub must: Must,
    /// From when on, after the case's first call.
    pub after: Duration,
    /// Until when.
    pub until: Duration,
}

/// A case.
#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    /// Its name.
    pub name: String,
    /// What went wrong, and where that is written up.
    pub about: String,
    /// Every answer and every table must be as they were; else only the expectations count.
    pub identical: bool,
    /// What must hold.
    pub expects: Vec<Expect>,
}

impl Case {
    /// Reads a case; all that is wrong with it is told at once.
    pub fn read(file: &str, text: &str) -> Result<Case, Diagnostics> {
        hcl::read(file, text, |top| {
            let block = top.block("case");
            if block.is_none() {
                top.report("a block `case \"name\" { .. }` is missing");
            }
            let block = block.as_ref();
            let tables = block.and_then(|block| block.keyword("tables", &["identical", "free"]));
            Case {
                name: block.and_then(|block| block.label.clone()).unwrap_or_default(),
                about: block.and_then(|block| block.string("about")).unwrap_or_default(),
                identical: tables != Some("free"),
                expects: top.blocks("expect").iter().filter_map(expect).collect(),
            }
        })
    }
}

const LONG: Duration = Duration::from_secs(86_400);

fn expect(block: &Block) -> Option<Expect> {
    let time = |name, or| block.duration(name, Duration::ZERO..=LONG).unwrap_or(or);
    let (after, until) = (time("after", Duration::ZERO), time("until", LONG));
    if after > until {
        block.report("`until` comes before `after`");
    }
    let zone = block.string("zone");
    let host = || block.require("host", block.string("host"), String::new());
    let part = |name| block.number(name, 0.0..=1e9);
    let must = match block.label.as_deref() {
        Some("out") => Must::Out { host: host(), zone },
        Some("share") => {
            let (host, least, most) = (host(), part("least").unwrap_or(0.0), part("most").unwrap_or(1.0));
            Must::Share { host, zone, least, most }
        }
        Some("standing") => {
            let is = block.keyword("is", &["leading", "halved", "out", "trial", "leaving"]);
            Must::Standing { host: host(), zone, is: block.require("is", is, "leading") }
        }
        Some("level") => {
            let class = block.require("class", block.string("class"), String::new());
            Must::Level {
                class,
                zone,
                least: part("least").unwrap_or(0.0),
                most: part("most").unwrap_or(1e9),
            }
        }
        _ => {
            block.reject("is not known; here are out, share, standing, level");
            return None;
        }
    };
    Some(Expect { must, after, until })
}

/// What became of a case.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Calls replayed.
    pub calls: u64,
    /// What did not hold, in words, each expectation at its first failure.
    pub faults: Vec<String>,
}

/// Replays a case and looks whether all holds.
pub fn check(case: &Case, entries: impl Iterator<Item = Entry>) -> Verdict {
    let mode = if case.identical { Mode::Strict } else { Mode::Compare };
    let mut replayer = Replayer::new(mode);
    let mut verdict = Verdict::default();
    let mut start = None;
    // An expectation that no call fell into was not looked at at all.
    let mut open: Vec<(usize, bool)> = (0..case.expects.len()).map(|at| (at, false)).collect();
    for entry in entries {
        let at = match replayer.feed(entry) {
            Ok(Some((call, _))) => call.at,
            Ok(None) => continue,
            Err(problem) => {
                verdict.faults.push(format!("cannot be replayed: {problem}"));
                break;
            }
        };
        let start = *start.get_or_insert(at);
        let Some(director) = replayer.director() else { continue };
        let after = Duration::from_micros(at.0 - start.0);
        open.retain_mut(|(number, looked)| {
            let expect = &case.expects[*number];
            if after < expect.after || after > expect.until {
                return true;
            }
            *looked = true;
            match holds(&expect.must, director, replayer.head()) {
                Ok(()) => true,
                Err(problem) => {
                    let secs = after.as_secs_f64();
                    verdict.faults.push(format!("+{secs:.2}s: {problem}"));
                    false
                }
            }
        });
    }
    verdict.calls = replayer.report.calls;
    for (number, _) in open.iter().filter(|(_, looked)| !looked) {
        verdict.faults.push(format!("no call falls into the span of expectation {}", number + 1));
    }
    let report = &replayer.report;
    if verdict.calls == 0 {
        verdict.faults.push("no call could be replayed".into());
    }
    if let Some((_, offset, fault)) = report.damage.first() {
        verdict.faults.push(format!("damaged at byte {offset}: {fault}"));
    }
    if let Some(first) = replayer.first.as_ref().filter(|_| case.identical) {
        let at = first.at.since(start.unwrap_or(Timestamp(0)));
        let more = report.differences;
        verdict
            .faults
            .push(format!("+{at:.2}s, call {}: not as it was then ({more} calls differ)", first.number));
    }
    verdict
}

fn holds(must: &Must, director: &Director, head: &crate::Head) -> Result<(), String> {
    let zones = |asked: &Option<String>| {
        let zones: Vec<ZoneId> = director.zone_views().into_iter().map(|view| view.zone).collect();
        let known = zones.into_iter().filter(|zone| asked.as_ref().is_none_or(|asked| **asked == *zone.0));
        known.collect::<Vec<_>>()
    };
    let tables = |zone: &ZoneId| {
        let bound =
            |table: &wingfold_director::inspect::TableView| table.zone == *zone && !table.entries.is_empty();
        director.table_views().into_iter().filter(bound).collect::<Vec<_>>()
    };
    let share = |host: &str, table: &wingfold_director::inspect::TableView| {
        let all: f64 = table.entries.iter().map(|line| line.1).sum();
        table.entries.iter().find(|line| *line.0 .0 == *host).map_or(0.0, |line| line.1) / all.max(1e-300)
    };
    let asked = match must {
        Must::Out { zone, .. }
        | Must::Share { zone, .. }
        | Must::Standing { zone, .. }
        | Must::Level { zone, .. } => zones(zone),
    };
    if asked.is_empty() {
        return Err("there is no such zone".into());
    }
    for zone in asked {
        let name = &zone.0;
        match must {
            Must::Out { host, .. } => {
                if let Some(table) = tables(&zone).iter().find(|table| share(host, table) > 0.0) {
                    return Err(format!("{host} is in table {} of {name}", table.table.0));
                }
            }
            Must::Share { host, least, most, .. } => {
                for table in tables(&zone) {
                    let part = share(host, &table);
                    if part < *least || part > *most {
                        let id = table.table.0;
                        return Err(format!(
                            "{host} has {part:.4} of table {id} of {name}, not {least} to {most}"
                        ));
                    }
                }
            }
            Must::Standing { host, is, .. } => {
                let view = director.host_view(&zone, &HostId(host.as_str().into()));
                let found = match view.map(|view| view.status) {
                    None => "unknown",
                    Some(HostStatus::Leading) => "leading",
                    Some(HostStatus::WeightHalved(_)) => "halved",
                    Some(HostStatus::Ejected(_)) => "out",
                    Some(HostStatus::Probation(_)) => "trial",
                    Some(HostStatus::NotReady) => "leaving",
                };
                if found != *is {
                    return Err(format!("{host} is {found} in {name}, not {is}"));
                }
            }
            Must::Level { class, least, most, .. } => {
                let Some(at) = head.classes.iter().position(|known| known == class) else {
                    return Err(format!("there is no class `{class}`"));
                };
                let views = director.zone_views();
                let level =
                    views.iter().find(|view| view.zone == zone).map_or(1.0, |view| view.admission_levels[at]);
                if level < *least || level > *most {
                    return Err(format!("{class} is at level {level} in {name}, not {least} to {most}"));
                }
            }
        }
    }
    Ok(())
}
