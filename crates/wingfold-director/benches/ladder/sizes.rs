//! The sizes at which a director is measured, and the director's settings at each size.

use serde::Serialize;
use std::sync::Arc;
use wingfold_director::interface::{Class, LoadReportSource, Micros, RepeatSafety, Settings, ZoneId};

/// The target size, of which the steps of the ladder are fractions.
pub const TARGET: Size = Size {
    proxies: 48,
    hosts: 2700,
    zones: 30,
    directors: 480,
    classes: 2,
    class_groups: 1,
    reports_per_s: 200,
    zone_local: false,
    health_checks: false,
    has_cross_zone_price: false,
};
/// Requests per second at one proxy: 72,000 over 480 directors of 48 proxies.
pub const REQUESTS_PER_PROXY: f64 = 72_000.0 / (480.0 * 48.0);
/// Machines replaced per day at the target.
pub const REPLACED_PER_DAY: f64 = 330.0;
/// Configuration changes per day at the target.
pub const CONFIGURED_PER_DAY: f64 = 630.0;
/// The steps of the ladder as denominators: step 16 is a sixteenth of the target.
pub const STEPS: [u32; 5] = [16, 8, 4, 2, 1];
/// Price of sending a request to a host of another zone, as a ratio of the value of the request, in the sizes
/// with such a price.
pub const CROSS_ZONE_PRICE: f64 = 0.1;
/// Time from a host's start until the host has its full capacity.
pub const WARM_UP: Micros = Micros(16_000_000);

/// The size of the fleet around one director.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Size {
    /// Proxies that connect to the director.
    pub proxies: u32,
    /// Hosts on the endpoint list.
    pub hosts: u32,
    /// Zones that hosts and proxies run in.
    pub zones: u32,
    /// Directors in all.
    pub directors: u32,
    /// Request classes.
    pub classes: u32,
    /// Groups of classes that may use the same hosts; each group has its own tables.
    #[serde(rename = "groups")]
    pub class_groups: u32,
    /// Load reports per second that the director receives.
    #[serde(rename = "sums_per_s")]
    pub reports_per_s: u32,
    /// Whether all proxies of the director are in one zone.
    pub zone_local: bool,
    /// Whether hosts report their load with health checks only.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// Whether requests that cross zones have a price, so that hosts of other zones get less weight.
    #[serde(rename = "crossing_priced")]
    pub has_cross_zone_price: bool,
}

impl Size {
    /// The target divided by `denominator`, with no number below one. The numbers of classes and of class
    /// groups stay.
    pub fn step(denominator: u32) -> Size {
        let scaled = |count: u32| (f64::from(count) / f64::from(denominator)).round().max(1.0) as u32;
        Size {
            proxies: scaled(TARGET.proxies),
            hosts: scaled(TARGET.hosts),
            zones: scaled(TARGET.zones),
            directors: scaled(TARGET.directors),
            reports_per_s: scaled(TARGET.reports_per_s),
            ..TARGET
        }
    }

    /// The settings of a director at this size.
    pub fn settings(&self) -> Settings {
        Settings {
            directors: self.directors,
            proxies: self.proxies * self.directors,
            zones: (0..self.zones).map(zone).collect(),
            local_first: self.zone_local,
            classes: (0..self.classes).map(|number| self.class(number)).collect(),
            send_rate_lines_per_s: 2500.0,
            message_overhead_lines: 4.0,
            max_queued_lines: 45_000.0,
            max_messages_per_proxy: 40,
            message_window: Micros::from_secs(10.0),
            mean_push_delay: Micros::from_secs(0.2),
            max_push_delay: Micros::from_secs(0.6),
            max_time_without_entry: Micros::from_secs(3.0),
            report_period: Micros::from_secs(1.0),
            max_report_lines_per_s: f64::from(self.reports_per_s),
            proxy_ejection_threshold: 3,
            health_checks_allowed: self.health_checks,
            load_report_source: if self.health_checks {
                LoadReportSource::WithHealthChecks
            } else {
                LoadReportSource::WithAttemptCounts
            },
            cross_zone_price: if self.has_cross_zone_price { CROSS_ZONE_PRICE } else { 0.0 },
            initial_capacity_ratio: 0.2,
            warm_up: WARM_UP,
            drain_grace: Micros::from_secs(3.0),
            overload_factor: 3.0,
            overload_duration: Micros::from_secs(2.0),
            poll_within: Micros::from_secs(10.0),
            connection_idle_timeout: Micros::from_secs(15.0),
            ..Settings::default()
        }
    }

    /// Class `number`. With several groups, the classes of a group may use all machine types except the one
    /// with the group's number.
    fn class(&self, number: u32) -> Class {
        let group = number % self.class_groups;
        let machine_types = (0..MACHINE_TYPES)
            .filter(|other| self.class_groups > 1 && *other != group)
            .map(machine_type)
            .collect();
        Class {
            latency_objective: Micros::from_secs(1.0),
            deadline: Micros::from_secs(3.0),
            priority_weight: 1.0 + f64::from(number),
            repeat_safety: RepeatSafety::Idempotent,
            own_zone_only: false,
            allowed_zones: Vec::new(),
            allowed_machine_types: machine_types,
        }
    }
}

/// Number of machine types in the fleet.
pub const MACHINE_TYPES: u32 = 4;

/// The name of a machine type.
pub fn machine_type(number: u32) -> String {
    format!("m{number}")
}

/// The name of a zone.
pub fn zone(number: u32) -> ZoneId {
    ZoneId(Arc::from(format!("zone-{number:02}")))
}

/// The name of a class on the wire.
pub fn class_name(number: usize) -> String {
    format!("class-{number}")
}
