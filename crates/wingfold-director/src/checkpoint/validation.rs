//! Validation of the records of a checkpoint. It checks the invariants that the director relies on without
//! checking them itself.
use crate::director::Director;
use crate::interface::{ClassId, HostId, ProxyId, SettingsError, TableId, Timestamp, ZoneId, MAX_ZONES};
use crate::state::{ClassGroup, HealthState, Host, Table, ZoneHostStats};
use std::collections::BTreeSet;

/// The number of the next table stays below this one, so that there are numbers left for new tables.
const TABLE_ID_BOUND: u32 = u32::MAX / 2;
/// Maximum number of halvings of a host's weight that a checkpoint may contain.
const MAX_WEIGHT_HALVINGS: u32 = 8;
/// Counts of consecutive rounds or updates stay below this number.
const ROUNDS_BOUND: u32 = 1 << 16;
/// The count of failed polls stays below this number.
const POLL_FAILURES_BOUND: u32 = 1 << 20;

/// An invalid record of a checkpoint, with the offending values.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidRecord {
    /// A time is so late that adding a duration could overflow.
    #[error("{field} is {} us, at most {} us are expected", .at.0, Timestamp::LATEST.0)]
    TimeTooLate {
        /// The path of the field.
        field: &'static str,
        /// The time in the field.
        at: Timestamp,
    },
    /// The start of a host is so late that adding a duration could overflow.
    #[error("host {:?} started at {} us, at most {} us are expected", .host.0, .at.0, Timestamp::LATEST.0)]
    HostStartedTooLate {
        /// The host.
        host: HostId,
        /// When the host started.
        at: Timestamp,
    },
    /// The groups of classes are not those that follow from the classes of the settings.
    #[error("the groups of classes do not match the classes of the settings")]
    ClassGroups,
    /// There are too many zones.
    #[error(transparent)]
    TooManyZones(SettingsError),
    /// A proxy is in a zone that the checkpoint does not contain.
    #[error("proxy {} is in the unknown zone {:?}", .proxy.0, .zone.0)]
    UnknownZone {
        /// The proxy.
        proxy: ProxyId,
        /// The zone.
        zone: ZoneId,
    },
    /// A proxy uses a subset that its zone does not have.
    #[error("proxy {} uses subset {subset}, but zone {:?} has {subsets} subsets", .proxy.0, .zone.0)]
    UnknownSubset {
        /// The proxy.
        proxy: ProxyId,
        /// The zone of the proxy.
        zone: ZoneId,
        /// The position of the proxy's subset.
        subset: usize,
        /// The number of subsets of the zone.
        subsets: usize,
    },
    /// A subset does not have one table for each group of classes.
    #[error("subset {subset} of zone {:?} has {tables} tables, {expected} are expected", .zone.0)]
    TableCount {
        /// The zone.
        zone: ZoneId,
        /// The position of the subset in the zone.
        subset: usize,
        /// The number of tables of the subset.
        tables: usize,
        /// The number of groups of classes.
        expected: usize,
    },
    /// Two tables have the same number.
    #[error("table number {} is used twice, the second time in zone {:?}", .table.0, .zone.0)]
    DuplicateTable {
        /// The zone of the second table.
        zone: ZoneId,
        /// The number of both tables.
        table: TableId,
    },
    /// A table has a number that has not been allocated yet.
    #[error("table number {} of zone {:?} is not below the next table number, {next}", .table.0, .zone.0)]
    TableNotAllocated {
        /// The zone.
        zone: ZoneId,
        /// The table.
        table: TableId,
        /// The number of the next table.
        next: u32,
    },
    /// The table numbers are nearly exhausted.
    #[error("the number of the next table is {next}, a number below {TABLE_ID_BOUND} is expected")]
    TableNumbersExhausted {
        /// The number of the next table.
        next: u32,
    },
    /// A table has an entry for a host that the checkpoint does not contain.
    #[error("table {} of zone {:?} has an entry for the unknown host {:?}", .table.0, .zone.0, .host.0)]
    UnknownHost {
        /// The zone.
        zone: ZoneId,
        /// The table.
        table: TableId,
        /// The host.
        host: HostId,
    },
    /// An entry of a table has a weight that is not a positive number.
    #[error(
        "table {} of zone {:?} has weight {weight} for host {:?}, a positive number is expected",
        .table.0, .zone.0, .host.0
    )]
    EntryWeight {
        /// The zone.
        zone: ZoneId,
        /// The table.
        table: TableId,
        /// The host.
        host: HostId,
        /// The weight of the host in the table.
        weight: f64,
    },
    /// A table has an admission level for a class that the settings do not have.
    #[error(
        "table {} of zone {:?} has an admission level for the unknown class {}",
        .table.0, .zone.0, .class.0
    )]
    UnknownClass {
        /// The zone.
        zone: ZoneId,
        /// The table.
        table: TableId,
        /// The class.
        class: ClassId,
    },
    /// A host is stored under a name that differs from the name in its record.
    #[error("host {:?} is stored under the name {:?}", .host.0, .stored_as.0)]
    HostName {
        /// The name that the record is stored under.
        stored_as: HostId,
        /// The name in the record.
        host: HostId,
    },
    /// A host has a weight that is not a positive number.
    #[error("host {:?} has weight {weight}, a positive number is expected", .host.0)]
    HostWeight {
        /// The host.
        host: HostId,
        /// The weight of the host.
        weight: f64,
    },
    /// A zone's statistics of a host are out of bounds.
    #[error("the statistics of zone {:?} on host {:?} are out of bounds: {fault}", .zone.0, .host.0)]
    HostStats {
        /// The zone.
        zone: ZoneId,
        /// The host.
        host: HostId,
        /// The value that is out of bounds.
        fault: HostStatsFault,
    },
    /// A zone's count of consecutive admission updates with a low loss is too high.
    #[error(
        "zone {:?} has {count} consecutive admission updates with a low loss, \
         fewer than {ROUNDS_BOUND} are expected",
        .zone.0
    )]
    LowLossUpdates {
        /// The zone.
        zone: ZoneId,
        /// The number of updates.
        count: u32,
    },
    /// The count of failed polls is too high.
    #[error("{count} polls have failed, fewer than {POLL_FAILURES_BOUND} are expected")]
    PollFailures {
        /// The number of failed polls.
        count: u32,
    },
    /// There are pending messages, although a checkpoint is only written between calls, when none are
    /// pending.
    #[error("{count} messages are pending, none are expected between calls")]
    PendingMessages {
        /// The number of pending messages.
        count: usize,
    },
    /// A barrier was sent so late that adding a duration to the time could overflow.
    #[error("barrier {number} was sent at {} us, at most {} us are expected", .at.0, Timestamp::LATEST.0)]
    BarrierSentTooLate {
        /// The number of the barrier.
        number: u64,
        /// When the barrier was sent.
        at: Timestamp,
    },
    /// The number of outstanding lines of a barrier is not finite.
    #[error("barrier {number} has {lines} outstanding lines, a finite number is expected")]
    BarrierLines {
        /// The number of the barrier.
        number: u64,
        /// The number of outstanding lines.
        lines: f64,
    },
}

/// A value that is out of bounds in a zone's statistics of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HostStatsFault {
    /// The number of halvings of the host's weight.
    #[error("its weight is halved {0} times, at most {MAX_WEIGHT_HALVINGS} are expected")]
    WeightHalvings(u32),
    /// The number of rounds that confirm the next change of the host's weight.
    #[error("{0} rounds confirm its next change of weight, fewer than {ROUNDS_BOUND} are expected")]
    ConfirmingRounds(u32),
    /// The end of the host's ejection or probation.
    #[error("its ejection or probation ends at {} us, at most {} us are expected", .0.0, Timestamp::LATEST.0)]
    HealthStateEnd(Timestamp),
}

type ValidationResult = Result<(), InvalidRecord>;

impl Director {
    /// Checks all records, and returns the first invalid one that is found.
    pub(super) fn validate(&self) -> ValidationResult {
        self.validate_times()?;
        self.validate_class_groups()?;
        self.validate_zone_count()?;
        self.validate_proxies()?;
        self.validate_subsets()?;
        self.validate_table_ids()?;
        self.validate_tables()?;
        self.validate_hosts()?;
        self.validate_host_stats()?;
        self.validate_counts()?;
        self.validate_send_queue()
    }

    fn validate_times(&self) -> ValidationResult {
        let times = [
            ("now", self.now),
            ("next_evaluation_at", self.next_evaluation_at),
            ("next_scoring_at", self.next_scoring_at),
            ("next_admission_update_at", self.next_admission_update_at),
            ("next_poll_at", self.next_poll_at),
            ("send_queue.last_acknowledged_at", self.send_queue.last_acknowledged_at),
            ("send_queue.measurement_started_at", self.send_queue.measurement_started_at),
        ];
        for (field, at) in times {
            ensure(is_valid_time(at), || InvalidRecord::TimeTooLate { field, at })?;
        }
        for (id, host) in &self.hosts {
            let Some(at) = host.endpoint.started_at else { continue };
            ensure(is_valid_time(at), || InvalidRecord::HostStartedTooLate { host: id.clone(), at })?;
        }
        Ok(())
    }

    fn validate_class_groups(&self) -> ValidationResult {
        let expected = ClassGroup::from_classes(&self.settings.classes);
        ensure(self.class_groups == expected, || InvalidRecord::ClassGroups)
    }

    fn validate_zone_count(&self) -> ValidationResult {
        let count = self.zones.len();
        let error = || InvalidRecord::TooManyZones(SettingsError::TooManyZones { count });
        ensure(count <= MAX_ZONES, error)
    }

    fn validate_proxies(&self) -> ValidationResult {
        for (id, proxy) in &self.proxies {
            let Some(zone) = self.zones.get(&proxy.zone) else {
                return Err(InvalidRecord::UnknownZone { proxy: *id, zone: proxy.zone.clone() });
            };
            let Some(subset) = proxy.subset else { continue };
            let subsets = zone.subsets.len();
            ensure(subset < subsets, || InvalidRecord::UnknownSubset {
                proxy: *id,
                zone: proxy.zone.clone(),
                subset,
                subsets,
            })?;
        }
        Ok(())
    }

    fn validate_subsets(&self) -> ValidationResult {
        let expected = self.class_groups.len();
        for (name, zone) in &self.zones {
            for (position, subset) in zone.subsets.iter().enumerate() {
                let tables = subset.tables.len();
                ensure(tables == expected, || InvalidRecord::TableCount {
                    zone: name.clone(),
                    subset: position,
                    tables,
                    expected,
                })?;
            }
        }
        Ok(())
    }

    fn validate_table_ids(&self) -> ValidationResult {
        let next = self.next_table_id;
        let mut seen = BTreeSet::new();
        for (zone, table) in self.tables_with_zones() {
            let id = table.id;
            ensure(seen.insert(id), || InvalidRecord::DuplicateTable { zone: zone.clone(), table: id })?;
            let error = || InvalidRecord::TableNotAllocated { zone: zone.clone(), table: id, next };
            ensure(id.0 < next, error)?;
        }
        ensure(next < TABLE_ID_BOUND, || InvalidRecord::TableNumbersExhausted { next })
    }

    fn validate_tables(&self) -> ValidationResult {
        for (zone, table) in self.tables_with_zones() {
            self.validate_entries(zone, table)?;
            self.validate_admission_levels(zone, table)?;
        }
        Ok(())
    }

    fn validate_entries(&self, zone: &ZoneId, table: &Table) -> ValidationResult {
        for (host, &weight) in &table.entries {
            let (zone, host, table) = (|| zone.clone(), || host.clone(), table.id);
            let is_known = self.hosts.contains_key(&host());
            ensure(is_known, || InvalidRecord::UnknownHost { zone: zone(), table, host: host() })?;
            let error = || InvalidRecord::EntryWeight { zone: zone(), table, host: host(), weight };
            ensure(is_valid_weight(weight), error)?;
        }
        Ok(())
    }

    fn validate_admission_levels(&self, zone: &ZoneId, table: &Table) -> ValidationResult {
        let classes = self.settings.classes.len();
        match table.admission_levels.keys().find(|class| class.0 >= classes) {
            None => Ok(()),
            Some(&class) => Err(InvalidRecord::UnknownClass { zone: zone.clone(), table: table.id, class }),
        }
    }

    fn validate_hosts(&self) -> ValidationResult {
        self.hosts.iter().try_for_each(|(id, host)| validate_host(id, host))
    }

    fn validate_host_stats(&self) -> ValidationResult {
        for (name, zone) in &self.zones {
            for (host, stats) in &zone.host_stats {
                let error =
                    |fault| InvalidRecord::HostStats { zone: name.clone(), host: host.clone(), fault };
                host_stats_fault(stats).map_or(Ok(()), |fault| Err(error(fault)))?;
            }
        }
        Ok(())
    }

    fn validate_counts(&self) -> ValidationResult {
        for (name, zone) in &self.zones {
            let count = zone.low_loss_updates;
            let error = || InvalidRecord::LowLossUpdates { zone: name.clone(), count };
            ensure(count < ROUNDS_BOUND, error)?;
        }
        let count = self.poll_failures;
        ensure(count < POLL_FAILURES_BOUND, || InvalidRecord::PollFailures { count })?;
        let count = self.pending_messages.len();
        ensure(count == 0, || InvalidRecord::PendingMessages { count })
    }

    fn validate_send_queue(&self) -> ValidationResult {
        for barrier in &self.send_queue.pending_barriers {
            let (number, at) = (barrier.number, barrier.sent_at);
            ensure(is_valid_time(at), || InvalidRecord::BarrierSentTooLate { number, at })?;
            let lines = barrier.outstanding_lines();
            ensure(lines.is_finite(), || InvalidRecord::BarrierLines { number, lines })?;
        }
        Ok(())
    }

    /// All tables, each with the zone that it belongs to.
    fn tables_with_zones(&self) -> impl Iterator<Item = (&ZoneId, &Table)> {
        self.zones.iter().flat_map(|(name, zone)| {
            let tables = zone.subsets.iter().flat_map(|subset| &subset.tables);
            tables.map(move |table| (name, table))
        })
    }
}

fn validate_host(id: &HostId, host: &Host) -> ValidationResult {
    let name = &host.endpoint.host;
    ensure(name == id, || InvalidRecord::HostName { stored_as: id.clone(), host: name.clone() })?;
    let weight = host.weight;
    ensure(is_valid_weight(weight), || InvalidRecord::HostWeight { host: id.clone(), weight })
}

/// The first value of a zone's statistics of a host that is out of bounds, if any is.
fn host_stats_fault(stats: &ZoneHostStats) -> Option<HostStatsFault> {
    if stats.weight_halvings > MAX_WEIGHT_HALVINGS {
        return Some(HostStatsFault::WeightHalvings(stats.weight_halvings));
    }
    if stats.confirming_rounds >= ROUNDS_BOUND {
        return Some(HostStatsFault::ConfirmingRounds(stats.confirming_rounds));
    }
    match stats.health {
        HealthState::Ejected { until } | HealthState::Probation { until } if !is_valid_time(until) => {
            Some(HostStatsFault::HealthStateEnd(until))
        }
        _ => None,
    }
}

/// Returns `error` unless a record meets its condition.
fn ensure(is_met: bool, error: impl FnOnce() -> InvalidRecord) -> ValidationResult {
    if is_met {
        Ok(())
    } else {
        Err(error())
    }
}

/// Whether adding a duration to a time cannot overflow.
fn is_valid_time(at: Timestamp) -> bool {
    at <= Timestamp::LATEST
}

fn is_valid_weight(weight: f64) -> bool {
    weight.is_finite() && weight > 0.0
}
