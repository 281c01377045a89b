//! Conditions on the state of a replayed director, and how they are checked.

use crate::model::Head;
use wingfold_director::inspect::{HostStatus, TableView};
use wingfold_director::interface::{HostId, ZoneId};
use wingfold_director::Director;

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
    pub(super) const NAMES: [&'static str; 5] = ["leading", "halved", "out", "trial", "leaving"];
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

    pub(super) fn from_name(name: &str) -> Option<ExpectedStatus> {
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

/// Why a condition does not hold.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConditionFailure {
    /// The director does not know the zone of the condition, or has no zones.
    #[error("the director has no zone that matches the expectation")]
    UnknownZone,
    /// The head or the settings of the capture have no class of this name.
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
    pub(super) fn check(&self, director: &Director, head: &Head) -> Result<(), ConditionFailure> {
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
    let unknown_class = || ConditionFailure::UnknownClass { class: class.into() };
    let index = head.class_names.iter().position(|known| known == class).ok_or_else(unknown_class)?;
    let view = director.zone_views().into_iter().find(|view| view.zone == *zone);
    // A head may name more classes than the settings of the director have.
    let level = view.map_or(Some(1.0), |view| view.admission_levels.get(index).copied());
    let level = level.ok_or_else(unknown_class)?;
    if level < least || level > most {
        let (class, zone) = (class.into(), zone.0.to_string());
        return Err(ConditionFailure::AdmissionLevel { class, level, zone, least, most });
    }
    Ok(())
}
