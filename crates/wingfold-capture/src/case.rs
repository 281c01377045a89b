//! Cases: a case is a kept capture with the conditions that must hold whenever a build replays the capture.

use crate::block::BlockError;
use crate::model::Head;
use crate::reader::Entry;
use crate::replay::{Damage, ReplayError, ReplayMode, Replayer};
use std::time::Duration;
use wingfold_director::inspect::{HostStatus, TableView};
use wingfold_director::interface::{HostId, Timestamp, ZoneId};
use wingfold_director::Director;
use wingfold_settings::hcl::{self, Block, Diagnostics};

/// The status that a condition expects of a host in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedStatus {
    /// The host is in the leading group and has its full weight.
    Leading,
    /// The ranking has halved the weight of the host at least once.
    WeightHalved,
    /// The host is ejected.
    Ejected,
    /// The host is in probation.
    Probation,
    /// The host is draining or removed.
    NotReady,
}

impl ExpectedStatus {
    /// The names of the statuses in case files, in the order of the variants.
    const NAMES: [&'static str; 5] = ["leading", "halved", "out", "trial", "leaving"];
    const ALL: [ExpectedStatus; 5] = [
        ExpectedStatus::Leading,
        ExpectedStatus::WeightHalved,
        ExpectedStatus::Ejected,
        ExpectedStatus::Probation,
        ExpectedStatus::NotReady,
    ];

    /// The name of the status in case files.
    fn name(self) -> &'static str {
        ExpectedStatus::NAMES[self as usize]
    }

    fn from_name(name: &str) -> Option<ExpectedStatus> {
        ExpectedStatus::ALL.into_iter().find(|status| status.name() == name)
    }

    fn of(status: HostStatus) -> ExpectedStatus {
        match status {
            HostStatus::Leading => ExpectedStatus::Leading,
            HostStatus::WeightHalved(_) => ExpectedStatus::WeightHalved,
            HostStatus::Ejected(_) => ExpectedStatus::Ejected,
            HostStatus::Probation(_) => ExpectedStatus::Probation,
            HostStatus::NotReady => ExpectedStatus::NotReady,
        }
    }
}

/// A condition on the state of the replayed director after a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Condition {
    /// A host is in none of a zone's tables.
    NotInTables {
        /// The host.
        host: String,
        /// The zone; `None`: all zones.
        zone: Option<String>,
    },
    /// The share of a host in the weight of each table of a zone is within bounds.
    Share {
        /// The host.
        host: String,
        /// The zone; `None`: all zones.
        zone: Option<String>,
        /// The lowest share, as a ratio.
        least: f64,
        /// The highest share, as a ratio.
        most: f64,
    },
    /// A host has the expected status in a zone.
    Status {
        /// The host.
        host: String,
        /// The zone; `None`: all zones.
        zone: Option<String>,
        /// The expected status.
        expected: ExpectedStatus,
    },
    /// The admission level of a class is within bounds.
    AdmissionLevel {
        /// The class.
        class: String,
        /// The zone; `None`: all zones.
        zone: Option<String>,
        /// The lowest level.
        least: f64,
        /// The highest level.
        most: f64,
    },
}

/// A condition that must hold after every call in a span of time.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    /// The condition.
    pub condition: Condition,
    /// The start of the span, as the time since the first call of the case.
    pub after: Duration,
    /// The end of the span, as the time since the first call of the case.
    pub until: Duration,
}

/// A case: what its replay must fulfil, as its file describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    /// The name of the case.
    pub name: String,
    /// The incident that the case reproduces, and where the incident is described.
    pub about: String,
    /// Whether all actions and tables must equal the recorded ones; otherwise only the expectations are
    /// checked.
    pub identical: bool,
    /// The expectations, in the order of the file.
    pub expectations: Vec<Expectation>,
}

/// Why a condition does not hold.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConditionFailure {
    /// The director does not know the zone of the condition, or has no zones.
    #[error("the director has no zone that matches the expectation")]
    UnknownZone,
    /// The head of the capture has no class of this name.
    #[error("the capture has no class `{class}`")]
    UnknownClass {
        /// The class.
        class: String,
    },
    /// A host that should be in no table is in one.
    #[error("host {host} is in table {table} of zone {zone}, expected in none")]
    InTable {
        /// The host.
        host: String,
        /// The number of the table.
        table: u32,
        /// The zone.
        zone: String,
    },
    /// The share of a host is out of bounds.
    #[error("host {host} has share {share:.4} in table {table} of zone {zone}, expected {least} to {most}")]
    Share {
        /// The host.
        host: String,
        /// The share of the host, as a ratio.
        share: f64,
        /// The number of the table.
        table: u32,
        /// The zone.
        zone: String,
        /// The lowest expected share.
        least: f64,
        /// The highest expected share.
        most: f64,
    },
    /// A host has another status than expected, or is unknown.
    #[error(
        "host {host} has status {} in zone {zone}, expected {}",
        .found.map_or("unknown", ExpectedStatus::name),
        .expected.name()
    )]
    Status {
        /// The host.
        host: String,
        /// The status of the host; `None`: the host is unknown.
        found: Option<ExpectedStatus>,
        /// The zone.
        zone: String,
        /// The expected status.
        expected: ExpectedStatus,
    },
    /// The admission level of a class is out of bounds.
    #[error("class {class} has admission level {level} in zone {zone}, expected {least} to {most}")]
    AdmissionLevel {
        /// The class.
        class: String,
        /// The admission level of the class.
        level: f64,
        /// The zone.
        zone: String,
        /// The lowest expected level.
        least: f64,
        /// The highest expected level.
        most: f64,
    },
}

/// Why a case fails. Times are given since the first call of the case.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CaseFailure {
    /// The capture cannot be replayed.
    #[error("the capture cannot be replayed: {0}")]
    Replay(ReplayError),
    /// A condition does not hold.
    #[error("+{:.2}s: {failure}", .after.as_secs_f64())]
    Condition {
        /// The time of the call after which the condition does not hold.
        after: Duration,
        /// Why the condition does not hold.
        failure: ConditionFailure,
    },
    /// There is no call in the span of an expectation.
    #[error("no call falls into the span of expectation {number}")]
    EmptySpan {
        /// The number of the expectation, from 1.
        number: usize,
    },
    /// No call could be replayed.
    #[error("no call could be replayed")]
    NoCalls,
    /// The capture is damaged.
    #[error("the capture is damaged at byte {offset}: {fault}")]
    Damaged {
        /// The offset in the segment at which the damaged part begins, in bytes.
        offset: usize,
        /// The fault at that offset.
        fault: BlockError,
    },
    /// The replayed director differs from the recorded one.
    #[error(
        "+{after_s:.2}s, call {call}: the replay differs from the recording ({differences} differences)"
    )]
    Different {
        /// The time of the first difference, in seconds.
        after_s: f64,
        /// The number of the call of the first difference.
        call: u64,
        /// The number of calls and checkpoints that differ.
        differences: u64,
    },
}

/// The result of a case.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CaseResult {
    /// The number of replayed calls.
    pub calls: u64,
    /// Why the case fails, with the first failure of each expectation; empty if the case passes.
    pub failures: Vec<CaseFailure>,
}

impl Case {
    /// Reads a case from the text of its file; the error lists all faults of the file.
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
                expectations: top.blocks("expect").iter().filter_map(read_expectation).collect(),
            }
        })
    }
}

/// The latest time of an expectation after the first call of the case, which is also the default end of its
/// span.
const MAX_OFFSET: Duration = Duration::from_secs(86_400);

fn read_expectation(block: &Block) -> Option<Expectation> {
    let time = |name, default| block.duration(name, Duration::ZERO..=MAX_OFFSET).unwrap_or(default);
    let (after, until) = (time("after", Duration::ZERO), time("until", MAX_OFFSET));
    if after > until {
        block.report("`until` comes before `after`");
    }
    Some(Expectation { condition: read_condition(block)?, after, until })
}

fn read_condition(block: &Block) -> Option<Condition> {
    let zone = block.string("zone");
    let host = || block.require("host", block.string("host"), String::new());
    let bound = |name, default| block.number(name, 0.0..=1e9).unwrap_or(default);
    match block.label.as_deref() {
        Some("out") => Some(Condition::NotInTables { host: host(), zone }),
        Some("share") => {
            let host = host();
            Some(Condition::Share { host, zone, least: bound("least", 0.0), most: bound("most", 1.0) })
        }
        Some("standing") => {
            let name = block.keyword("is", &ExpectedStatus::NAMES).and_then(ExpectedStatus::from_name);
            let host = host();
            let expected = block.require("is", name, ExpectedStatus::Leading);
            Some(Condition::Status { host, zone, expected })
        }
        Some("level") => {
            let class = block.require("class", block.string("class"), String::new());
            let (least, most) = (bound("least", 0.0), bound("most", 1e9));
            Some(Condition::AdmissionLevel { class, zone, least, most })
        }
        _ => {
            block.reject("is not a kind of condition; expected out, share, standing or level");
            None
        }
    }
}

/// An expectation that has not failed yet.
struct OpenExpectation<'a> {
    number: usize,
    expectation: &'a Expectation,
    /// Whether a call was in its span.
    was_checked: bool,
}

impl OpenExpectation<'_> {
    /// Checks the condition, if `after` is in the span of the expectation.
    fn check(&mut self, after: Duration, director: &Director, head: &Head) -> Result<(), CaseFailure> {
        if after < self.expectation.after || after > self.expectation.until {
            return Ok(());
        }
        self.was_checked = true;
        self.expectation
            .condition
            .check(director, head)
            .map_err(|failure| CaseFailure::Condition { after, failure })
    }
}

/// Replays the capture of a case and checks the expectations of the case.
pub fn check(case: &Case, entries: impl Iterator<Item = Entry>) -> CaseResult {
    let mode = if case.identical { ReplayMode::Strict } else { ReplayMode::Compare };
    let mut replayer = Replayer::new(mode);
    let mut failures = Vec::new();
    let mut first_call_at = None;
    let mut open: Vec<OpenExpectation> = (1..)
        .zip(&case.expectations)
        .map(|(number, expectation)| OpenExpectation { number, expectation, was_checked: false })
        .collect();
    for entry in entries {
        let at = match replayer.feed(entry) {
            Ok(Some((call, _))) => call.at,
            Ok(None) => continue,
            Err(error) => {
                failures.push(CaseFailure::Replay(error));
                break;
            }
        };
        let first_call_at = *first_call_at.get_or_insert(at);
        let Some(director) = replayer.director() else { continue };
        let after = Duration::from_micros(at.0 - first_call_at.0);
        open.retain_mut(|expectation| {
            let result = expectation.check(after, director, replayer.head());
            failures.extend(result.as_ref().err().cloned());
            result.is_ok()
        });
    }
    let unchecked = open.iter().filter(|expectation| !expectation.was_checked);
    failures.extend(unchecked.map(|expectation| CaseFailure::EmptySpan { number: expectation.number }));
    failures.extend(replay_failures(case, &replayer, first_call_at));
    CaseResult { calls: replayer.report.calls, failures }
}

/// The failures of the replay as a whole: no replayed call, damage, and differences if the case allows none.
fn replay_failures(case: &Case, replayer: &Replayer, first_call_at: Option<Timestamp>) -> Vec<CaseFailure> {
    let mut failures = Vec::new();
    let report = &replayer.report;
    if report.calls == 0 {
        failures.push(CaseFailure::NoCalls);
    }
    if let Some(&Damage { offset, fault, .. }) = report.damage.first() {
        failures.push(CaseFailure::Damaged { offset, fault });
    }
    if let Some(first) = replayer.first_difference.as_ref().filter(|_| case.identical) {
        failures.push(CaseFailure::Different {
            after_s: first.at.since(first_call_at.unwrap_or(Timestamp(0))),
            call: first.call,
            differences: report.differences,
        });
    }
    failures
}

impl Condition {
    /// The zone that the condition names; `None`: all zones.
    fn zone(&self) -> Option<&str> {
        match self {
            Condition::NotInTables { zone, .. }
            | Condition::Share { zone, .. }
            | Condition::Status { zone, .. }
            | Condition::AdmissionLevel { zone, .. } => zone.as_deref(),
        }
    }

    /// Checks the condition in the zone that it names, or in all zones of the director.
    fn check(&self, director: &Director, head: &Head) -> Result<(), ConditionFailure> {
        let zones = director.zone_views().into_iter().map(|view| view.zone);
        let zones: Vec<ZoneId> =
            zones.filter(|zone| self.zone().is_none_or(|asked| *asked == *zone.0)).collect();
        if zones.is_empty() {
            return Err(ConditionFailure::UnknownZone);
        }
        zones.iter().try_for_each(|zone| self.check_zone(zone, director, head))
    }

    fn check_zone(&self, zone: &ZoneId, director: &Director, head: &Head) -> Result<(), ConditionFailure> {
        match self {
            Condition::NotInTables { host, .. } => check_not_in_tables(host, zone, director),
            Condition::Share { host, least, most, .. } => check_share(host, *least, *most, zone, director),
            Condition::Status { host, expected, .. } => check_status(host, *expected, zone, director),
            Condition::AdmissionLevel { class, least, most, .. } => {
                check_admission_level(class, *least, *most, zone, director, head)
            }
        }
    }
}

/// The tables of a zone that have entries.
fn tables_with_entries(zone: &ZoneId, director: &Director) -> impl Iterator<Item = TableView> {
    let zone = zone.clone();
    let tables = director.table_views().into_iter();
    tables.filter(move |table| table.zone == zone && !table.entries.is_empty())
}

fn host_id(host: &str) -> HostId {
    HostId(host.into())
}

fn check_not_in_tables(host: &str, zone: &ZoneId, director: &Director) -> Result<(), ConditionFailure> {
    let id = host_id(host);
    match tables_with_entries(zone, director).find(|table| table.share(&id) > 0.0) {
        None => Ok(()),
        Some(table) => Err(ConditionFailure::InTable {
            host: host.into(),
            table: table.table.0,
            zone: zone.0.to_string(),
        }),
    }
}

fn check_share(
    host: &str,
    least: f64,
    most: f64,
    zone: &ZoneId,
    director: &Director,
) -> Result<(), ConditionFailure> {
    let id = host_id(host);
    for table in tables_with_entries(zone, director) {
        let share = table.share(&id);
        if share < least || share > most {
            let (host, zone) = (host.into(), zone.0.to_string());
            return Err(ConditionFailure::Share { host, share, table: table.table.0, zone, least, most });
        }
    }
    Ok(())
}

fn check_status(
    host: &str,
    expected: ExpectedStatus,
    zone: &ZoneId,
    director: &Director,
) -> Result<(), ConditionFailure> {
    let view = director.host_view(zone, &host_id(host));
    let found = view.map(|view| ExpectedStatus::of(view.status));
    if found == Some(expected) {
        return Ok(());
    }
    Err(ConditionFailure::Status { host: host.into(), found, zone: zone.0.to_string(), expected })
}

fn check_admission_level(
    class: &str,
    least: f64,
    most: f64,
    zone: &ZoneId,
    director: &Director,
    head: &Head,
) -> Result<(), ConditionFailure> {
    let Some(index) = head.class_names.iter().position(|known| known == class) else {
        return Err(ConditionFailure::UnknownClass { class: class.into() });
    };
    let view = director.zone_views().into_iter().find(|view| view.zone == *zone);
    let level = view.map_or(1.0, |view| view.admission_levels[index]);
    if level < least || level > most {
        let (class, zone) = (class.into(), zone.0.to_string());
        return Err(ConditionFailure::AdmissionLevel { class, level, zone, least, most });
    }
    Ok(())
}
