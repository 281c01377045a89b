//! Validation of settings: the bounds that a director can work with, and the errors of settings that exceed
//! them.
use super::{Class, Micros, Settings, ZoneId};
use std::collections::BTreeSet;

/// Maximum number of request classes: a [`ClassMask`](super::ClassMask) has one bit for each.
const MAX_CLASSES: usize = 64;
/// Maximum number of zones.
pub(crate) const MAX_ZONES: usize = 4096;
/// Maximum number of proxies.
const MAX_PROXIES: u32 = 100_000;
/// Maximum number of tables, counted as one for each proxy and class.
const MAX_TABLES: u64 = 1_000_000;

/// The reason why settings are rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There are too many classes.
    #[error("{count} classes are more than the {MAX_CLASSES} that a director can hold")]
    TooManyClasses {
        /// The number of classes.
        count: usize,
    },
    /// There are too many zones.
    #[error("{count} zones are more than the {MAX_ZONES} that a director can hold")]
    TooManyZones {
        /// The number of zones.
        count: usize,
    },
    /// A zone is listed more than once.
    #[error("zone {:?} is listed twice", .zone.0)]
    DuplicateZone {
        /// The zone.
        zone: ZoneId,
    },
    /// There are too many proxies.
    #[error("{count} proxies are more than the {MAX_PROXIES} that a director can hold")]
    TooManyProxies {
        /// The number of proxies.
        count: u32,
    },
    /// There are so many proxies and classes that too many tables may be needed, one for each proxy and
    /// class.
    #[error(
        "{proxies} proxies with {classes} classes may need {} tables, more than the {MAX_TABLES} that a \
         director can hold",
        u64::from(*.proxies) * *.classes as u64
    )]
    TooManyTables {
        /// The number of proxies.
        proxies: u32,
        /// The number of classes; 1 if the settings have none.
        classes: usize,
    },
    /// A duration is too long.
    #[error("the setting {setting} is {} us, at most {} us are expected", .duration.0, Micros::LONGEST.0)]
    DurationTooLong {
        /// The path of the setting.
        setting: String,
        /// The value of the setting.
        duration: Micros,
    },
    /// A number is infinite or not a number.
    #[error("the setting {setting} is {value}, a finite number is expected")]
    NotFinite {
        /// The path of the setting.
        setting: String,
        /// The value of the setting.
        value: f64,
    },
}

impl Settings {
    /// Checks that the settings are within the bounds that a director can work with.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.validate_classes()?;
        self.validate_zones()?;
        self.validate_proxies()?;
        self.validate_durations()?;
        self.validate_numbers()
    }

    fn validate_classes(&self) -> Result<(), SettingsError> {
        let count = self.classes.len();
        if count > MAX_CLASSES {
            return Err(SettingsError::TooManyClasses { count });
        }
        Ok(())
    }

    fn validate_zones(&self) -> Result<(), SettingsError> {
        let count = self.zones.len();
        if count > MAX_ZONES {
            return Err(SettingsError::TooManyZones { count });
        }
        let mut seen = BTreeSet::new();
        match self.zones.iter().find(|zone| !seen.insert(*zone)) {
            Some(zone) => Err(SettingsError::DuplicateZone { zone: zone.clone() }),
            None => Ok(()),
        }
    }

    fn validate_proxies(&self) -> Result<(), SettingsError> {
        let proxies = self.proxies;
        if proxies > MAX_PROXIES {
            return Err(SettingsError::TooManyProxies { count: proxies });
        }
        let classes = self.classes.len().max(1);
        if u64::from(proxies) * classes as u64 > MAX_TABLES {
            return Err(SettingsError::TooManyTables { proxies, classes });
        }
        Ok(())
    }

    fn validate_durations(&self) -> Result<(), SettingsError> {
        let durations = [
            ("message_window", self.message_window),
            ("mean_push_delay", self.mean_push_delay),
            ("max_push_delay", self.max_push_delay),
            ("max_time_without_entry", self.max_time_without_entry),
            ("report_period", self.report_period),
            ("warm_up", self.warm_up),
            ("drain_grace", self.drain_grace),
            ("overload_duration", self.overload_duration),
            ("poll_within", self.poll_within),
            ("connection_idle_timeout", self.connection_idle_timeout),
        ];
        for (setting, duration) in durations {
            validate_duration(|| setting.into(), duration)?;
        }
        for (index, class) in self.classes.iter().enumerate() {
            let Class { latency_objective, deadline, .. } = class;
            validate_duration(|| class_setting(index, "latency_objective"), *latency_objective)?;
            validate_duration(|| class_setting(index, "deadline"), *deadline)?;
        }
        Ok(())
    }

    fn validate_numbers(&self) -> Result<(), SettingsError> {
        let numbers = [
            ("send_rate_lines_per_s", self.send_rate_lines_per_s),
            ("message_overhead_lines", self.message_overhead_lines),
            ("max_queued_lines", self.max_queued_lines),
            ("max_report_lines_per_s", self.max_report_lines_per_s),
            ("cross_zone_price", self.cross_zone_price),
            ("initial_capacity_ratio", self.initial_capacity_ratio),
            ("overload_factor", self.overload_factor),
        ];
        for (setting, value) in numbers {
            validate_number(|| setting.into(), value)?;
        }
        for (index, class) in self.classes.iter().enumerate() {
            validate_number(|| class_setting(index, "priority_weight"), class.priority_weight)?;
        }
        Ok(())
    }
}

/// The path of the setting `name` of the class at position `index`.
fn class_setting(index: usize, name: &str) -> String {
    format!("classes[{index}].{name}")
}

fn validate_duration(setting: impl Fn() -> String, duration: Micros) -> Result<(), SettingsError> {
    if duration > Micros::LONGEST {
        return Err(SettingsError::DurationTooLong { setting: setting(), duration });
    }
    Ok(())
}

fn validate_number(setting: impl Fn() -> String, value: f64) -> Result<(), SettingsError> {
    if !value.is_finite() {
        return Err(SettingsError::NotFinite { setting: setting(), value });
    }
    Ok(())
}
