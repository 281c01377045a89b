//! A director's whole state written down and taken up again. Nothing is decided here.
//!
//! A checkpoint is a head (magic, version, digest of the settings, length, checksum) and the records of
//! `state.rs` in MessagePack with the names of their fields: a later build that has more fields still reads
//! an older one, where a field says what stands for it. Floats go through as they are, bit for bit. A
//! director restored from one answers all further events with the same actions as the one that wrote it.
use crate::director::Director;
use crate::interface::{Settings, Timestamp};
use crate::state::HealthState;
use std::collections::BTreeSet;

/// The version of the records; one that this build does not know is refused.
pub const VERSION: u16 = 1;
const MAGIC: [u8; 4] = *b"WFDS";
/// Magic, version, digest of the settings, length, checksum.
const HEAD: usize = 4 + 2 + 8 + 4 + 4;
/// Numbers beyond these are no real deployment's, and a director would fill the memory with tables for them.
const MOST_PROXIES: u32 = 100_000;
const MOST_TABLES: u64 = 1_000_000;
const MOST_ZONES: usize = 4096;
/// A time beyond this could overflow in sums with it: it is the year 146,000.
const LATEST: Timestamp = Timestamp(u64::MAX / 4);

/// Why a checkpoint is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CheckpointError {
    /// It ends too early, or goes on after its end.
    #[error("the checkpoint is cut: {has} bytes where {needs} are due")]
    Cut {
        /// Bytes there are.
        has: usize,
        /// Bytes there should be.
        needs: usize,
    },
    /// It is something else, or was changed.
    #[error("the checkpoint is damaged: {0}")]
    Damaged(&'static str),
    /// Another version wrote it.
    #[error("the checkpoint has version {found}, this build reads version {VERSION}")]
    Version {
        /// The version found.
        found: u16,
    },
    /// It belongs to other settings.
    #[error("the checkpoint was written under other settings")]
    Settings,
    /// Its records contradict each other.
    #[error("the checkpoint holds what no director can hold: {0}")]
    Impossible(&'static str),
}

impl Settings {
    /// A number that is the same for equal settings, and practically never for others.
    pub fn digest(&self) -> u64 {
        let bytes = rmp_serde::to_vec(self).expect("settings are plain records, written to memory");
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }

    /// Whether a director can work by them at all, as far as sizes go: what comes from a file may say
    /// anything.
    pub fn bounded(&self) -> Result<(), &'static str> {
        let groups = self.classes.len().max(1) as u64;
        let times = [
            self.message_window,
            self.mean_push_delay,
            self.max_push_delay,
            self.max_time_without_entry,
            self.report_period,
        ];
        let more = [
            self.warm_up,
            self.drain_grace,
            self.overload_duration,
            self.poll_within,
            self.connection_idle_timeout,
        ];
        let classes = self.classes.iter().flat_map(|class| [class.latency_objective, class.deadline]);
        let figures = [
            self.send_rate_lines_per_s,
            self.message_overhead_lines,
            self.max_queued_lines,
            self.max_report_lines_per_s,
        ];
        let more_figures = [self.cross_zone_price, self.initial_capacity_ratio, self.overload_factor];
        let worths = self.classes.iter().map(|class| class.priority_weight);
        let known: BTreeSet<_> = self.zones.iter().collect();
        let sound = [
            (self.classes.len() <= 64, "more than 64 classes"),
            (self.zones.len() <= MOST_ZONES && known.len() == self.zones.len(), "zones that cannot be"),
            (self.proxies <= MOST_PROXIES, "too many proxies"),
            (u64::from(self.proxies) * groups <= MOST_TABLES, "too many tables"),
            (
                times.into_iter().chain(more).chain(classes).all(|length| length.0 <= LATEST.0),
                "a time beyond all bounds",
            ),
            (
                figures.into_iter().chain(more_figures).chain(worths).all(f64::is_finite),
                "a figure that is no number",
            ),
        ];
        sound.into_iter().find(|(holds, _)| !holds).map_or(Ok(()), |(_, what)| Err(what))
    }
}

impl Director {
    /// Writes the whole state down.
    pub fn checkpoint(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        rmp_serde::encode::write_named(&mut bytes, self).expect("records are plain, written to memory");
        let sum = crc32fast::hash(&bytes[HEAD..]);
        let length = (bytes.len() - HEAD) as u32;
        let head = [
            &MAGIC[..],
            &VERSION.to_le_bytes(),
            &self.settings.digest().to_le_bytes(),
            &length.to_le_bytes(),
        ];
        let head = [&head.concat()[..], &sum.to_le_bytes()].concat();
        bytes[..HEAD].copy_from_slice(&head);
        bytes
    }

    /// Takes up a state that was written down under these settings.
    pub fn restore_for(bytes: &[u8], settings: &Settings) -> Result<Director, CheckpointError> {
        let (_, digest, _) = split(bytes)?;
        if digest != settings.digest() {
            return Err(CheckpointError::Settings);
        }
        let director = Director::restore(bytes)?;
        if director.settings == *settings {
            Ok(director)
        } else {
            Err(CheckpointError::Settings)
        }
    }

    /// Takes up a state that was written down, with its own settings. What cannot be is refused: whoever
    /// wrote the bytes, a restored director must not fall over.
    pub fn restore(bytes: &[u8]) -> Result<Director, CheckpointError> {
        let (records, digest, sum) = split(bytes)?;
        if crc32fast::hash(records) != sum {
            return Err(CheckpointError::Damaged("its checksum differs"));
        }
        let mut director: Director = rmp_serde::from_slice(records)
            .map_err(|_| CheckpointError::Damaged("its records cannot be read"))?;
        director.settings.bounded().map_err(CheckpointError::Impossible)?;
        if director.settings.digest() != digest {
            return Err(CheckpointError::Damaged("its settings are not those of its head"));
        }
        director.sound().map_err(CheckpointError::Impossible)?;
        director.rebuild_digests();
        Ok(director)
    }

    /// Whether the records fit together: all that the module relies on without looking.
    fn sound(&self) -> Result<(), &'static str> {
        let classes = self.settings.classes.len();
        let tables = || self.zones.values().flat_map(|zone| &zone.subsets).flat_map(|slot| &slot.tables);
        let paths = || self.zones.values().flat_map(|zone| zone.host_stats.values());
        let time = |at: &Timestamp| *at <= LATEST;
        let weight = |weight: f64| weight.is_finite() && weight > 0.0;
        let dealt = |proxy: &crate::state::Proxy| {
            let zone = self.zones.get(&proxy.zone);
            zone.is_some_and(|zone| proxy.subset.is_none_or(|slot| slot < zone.subsets.len()))
        };
        let state = |health: &HealthState| match health {
            HealthState::Healthy => true,
            HealthState::Ejected { until } | HealthState::Probation { until } => time(until),
        };
        let ids: BTreeSet<u32> = tables().map(|table| table.id.0).collect();
        let count = tables().count();
        let channel = [self.send_queue.last_acknowledged_at, self.send_queue.measurement_started_at];
        let clocks = [
            self.now,
            self.next_evaluation_at,
            self.next_scoring_at,
            self.next_admission_update_at,
            self.next_poll_at,
        ];
        let started = self.hosts.values().all(|host| host.endpoint.started_at.is_none_or(|at| time(&at)));
        let sound = [
            (clocks.iter().chain(&channel).all(time) && started, "a time beyond all bounds"),
            (
                self.class_groups == crate::state::ClassGroup::from_classes(&self.settings.classes),
                "groups of classes that are not the settings'",
            ),
            (self.zones.len() <= MOST_ZONES, "too many zones"),
            (self.proxies.values().all(dealt), "a proxy on a table that is not there"),
            (
                self.zones
                    .values()
                    .all(|z| z.subsets.iter().all(|s| s.tables.len() == self.class_groups.len())),
                "a slot that lacks a table",
            ),
            (
                ids.len() == count && ids.last().is_none_or(|id| *id < self.next_table_id),
                "two tables of one number",
            ),
            (self.next_table_id < u32::MAX / 2, "a table's number beyond all bounds"),
            (
                tables().all(|t| t.entries.keys().all(|id| self.hosts.contains_key(id))),
                "a line of an unknown host",
            ),
            (tables().all(|t| t.entries.values().all(|w| weight(*w))), "a weight that is none"),
            (
                tables().all(|t| t.admission_levels.keys().all(|class| class.0 < classes)),
                "a level of an unknown class",
            ),
            (
                self.hosts.iter().all(|(id, h)| h.endpoint.host == *id && weight(h.weight)),
                "a host under another's name",
            ),
            (
                paths().all(|path| {
                    path.weight_halvings <= 8 && path.confirming_rounds < 1 << 16 && state(&path.health)
                }),
                "a step that is none",
            ),
            (self.zones.values().all(|zone| zone.calm_rounds < 1 << 16), "a count beyond all bounds"),
            (self.poll_failures < 1 << 20, "a count beyond all bounds"),
            (self.pending_messages.is_empty(), "a call that has not ended"),
            (
                self.send_queue
                    .pending_barriers
                    .iter()
                    .all(|mark| time(&mark.sent_at) && mark.outstanding_lines().is_finite()),
                "a mark that is none",
            ),
        ];
        sound.into_iter().find(|(holds, _)| !holds).map_or(Ok(()), |(_, what)| Err(what))
    }
}

/// The records, the settings' digest and the checksum.
fn split(bytes: &[u8]) -> Result<(&[u8], u64, u32), CheckpointError> {
    let (has, records) = (bytes.len(), bytes.get(HEAD..));
    let Some(records) = records else { return Err(CheckpointError::Cut { has, needs: HEAD }) };
    let four = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().expect("four bytes"));
    if bytes[..4] != MAGIC {
        return Err(CheckpointError::Damaged("it does not begin as one"));
    }
    let found = u16::from_le_bytes([bytes[4], bytes[5]]);
    if found != VERSION {
        return Err(CheckpointError::Version { found });
    }
    let digest = u64::from_le_bytes(bytes[6..14].try_into().expect("eight bytes"));
    let needs = HEAD + four(14) as usize;
    if has != needs {
        return Err(CheckpointError::Cut { has, needs });
    }
    Ok((records, digest, four(18)))
}
