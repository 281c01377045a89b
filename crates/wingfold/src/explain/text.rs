//! Prints an explanation as text.

use crate::format;
use wingfold_capture::explain::{Explanation, HostChange, HostExplanation};
use wingfold_capture::Head;
use wingfold_director::inspect::{HostStatus, HostView, ZoneView};
use wingfold_director::interface::{Class, Readiness};

/// The maximum number of events before a change that are shown.
const MAX_EVENTS: usize = 8;

/// Shares of a host in different tables that differ by less are shown as one value.
const MIN_SHARE_DIFFERENCE: f64 = 0.001;

/// Limits the shown divisor of a weight to the range of `u32`.
const MAX_HALVINGS: u32 = 31;

/// Shown in place of an unknown value.
const UNKNOWN: &str = "unknown";

/// Prints the director, and each zone with its hosts: one line for each host, or all its details if
/// `with_details`. If `class` is given, prints only the admission level of that class and the hosts that its
/// requests may use.
pub fn print(head: &Head, explanation: &Explanation, with_details: bool, class: Option<usize>) {
    println!("{}", director_line(explanation));
    for zone in &explanation.zones {
        println!("\n{}", zone_line(head, zone, class));
        let class_settings = class.and_then(|index| head.settings.classes.get(index));
        let hosts = explanation.hosts.iter().filter(|host| host.view.zone == zone.zone);
        for host in hosts.filter(|host| class_settings.is_none_or(|class| may_use(class, &host.view))) {
            if with_details {
                print_details(head, host);
            } else {
                println!("  {:<24} {}", host.view.host.0, host_line(host));
            }
        }
    }
}

/// A ratio as a percentage.
fn percent(ratio: f64) -> f64 {
    100.0 * ratio
}

/// A value without decimals.
fn rounded(value: Option<f64>) -> String {
    value.map_or(UNKNOWN.into(), |value| format!("{value:.0}"))
}

fn director_line(explanation: &Explanation) -> String {
    let fleet = &explanation.fleet;
    let median_latency = fleet.median_latency_ms.map_or(UNKNOWN.into(), |ms| format!("{ms:.0} ms"));
    format!(
        "{} at call {}, {}: {} hosts, {} connected proxies, {:.0} % of the load admitted, \
         median loss {:.1} %, median latency {median_latency}, utilization {:.2}, \
         {:.0} lines in the send queue",
        explanation.director,
        explanation.call,
        format::time(explanation.at),
        fleet.hosts,
        fleet.proxies,
        percent(fleet.admission_ratio),
        percent(fleet.median_loss),
        fleet.utilization,
        fleet.queued_lines
    )
}

fn zone_line(head: &Head, zone: &ZoneView, class: Option<usize>) -> String {
    let levels = zone.admission_levels.iter().enumerate();
    let shown = levels.filter(|(index, _)| class.is_none_or(|class| class == *index));
    let levels: Vec<String> =
        shown.map(|(index, level)| format!("{} {level}", format::class_name(head, index))).collect();
    let leading_score = zone.leading_score.map_or("no score yet".into(), |score| format!("score {score:.0}"));
    format!(
        "zone {}: {} proxies, baseline loss {:.1} %, leading group: {leading_score}; admission levels: {}",
        zone.zone.0,
        zone.proxies,
        percent(zone.baseline_loss),
        levels.join(", ")
    )
}

/// Whether requests of a class may be sent to a host.
fn may_use(class: &Class, host: &HostView) -> bool {
    let is_zone_allowed = class.allowed_zones.is_empty() || class.allowed_zones.contains(&host.host_zone);
    let is_machine_type_allowed =
        class.allowed_machine_types.is_empty() || class.allowed_machine_types.contains(&host.machine_type);
    let is_own_zone = !class.own_zone_only || host.host_zone == host.zone;
    is_own_zone && is_zone_allowed && is_machine_type_allowed
}

/// How a zone treats a host, as text.
fn status(status: HostStatus) -> String {
    match status {
        HostStatus::Leading => "in the leading group".into(),
        HostStatus::WeightHalved(halvings) => {
            format!("reduced to 1/{} of its weight", weight_divisor(halvings))
        }
        HostStatus::Ejected(until) => format!("ejected until {} at least", format::time(until)),
        HostStatus::Probation(until) => {
            format!("in probation at 1/8 of its weight, until it answers, or until {}", format::time(until))
        }
        HostStatus::NotReady => "not ready: draining or removed".into(),
    }
}

fn weight_divisor(halvings: u32) -> u32 {
    1 << halvings.min(MAX_HALVINGS)
}

/// The share of a host in the weight of its zone's tables, as text.
fn share(host: &HostExplanation) -> String {
    let shares: Vec<f64> = host.shares.iter().map(|(_, share)| *share).collect();
    let smallest = shares.iter().copied().fold(f64::INFINITY, f64::min);
    let largest = shares.iter().copied().fold(0.0, f64::max);
    if largest == 0.0 {
        "in no table".into()
    } else if largest - smallest < MIN_SHARE_DIFFERENCE {
        format!("{:.1} % of each table", percent(largest))
    } else {
        format!("{:.1} to {:.1} % of {} tables", percent(smallest), percent(largest), shares.len())
    }
}

fn host_line(host: &HostExplanation) -> String {
    let view = &host.view;
    let score = view.score.map_or("no score".into(), |score| format!("score {score:.0}"));
    let slow_start = if view.is_warming_up {
        format!(", slow start: at most {:.0} %", percent(view.slow_start_factor))
    } else {
        String::new()
    };
    format!("{}; {score}, {}{slow_start}", share(host), status(view.status))
}

/// Prints all details of a host.
fn print_details(head: &Head, host: &HostExplanation) {
    let view = &host.view;
    println!(
        "  {} of zone {} ({}), as seen by zone {}:",
        view.host.0, view.host_zone.0, view.machine_type, view.zone.0
    );
    println!("    now: {}, {}", status(view.status), share(host));
    print_endpoint_state(view);
    print_measurements(view);
    println!("    weight: {}", weight_factors(view).join(" "));
    print_table_weights(host);
    print_changes(head, host);
}

fn print_endpoint_state(view: &HostView) {
    match view.readiness {
        Readiness::Ready => {}
        Readiness::Draining => println!("    endpoint list: draining"),
        Readiness::Removed => println!("    endpoint list: removed"),
    }
    if view.removal_suspected {
        println!("    endpoint list: removed; advisory here, so the host is used until attempts at it fail");
    }
}

fn print_measurements(view: &HostView) {
    println!(
        "    score {} = {} ms latency + 100 ms for each percent of loss ({:.1} %); \
         score of the leading group: {}",
        rounded(view.score),
        rounded(view.latency_ms),
        percent(view.loss_ratio),
        rounded(view.leading_score)
    );
    println!(
        "    consecutive failed attempts of this zone: {:.0}; \
         consecutive failed or late attempts of all zones: {:.0}; \
         attempts expected since this zone's last report: {:.1}; \
         rounds that confirm the next weight change: {}",
        view.consecutive_failures, view.consecutive_useless, view.missed_attempts, view.confirming_rounds
    );
    if let Some((utilization, at)) = view.utilization {
        println!("    utilization {:.0} %, reported at {}", percent(utilization), format::time(at));
    }
}

/// The factors of a host's weight, starting with the weight in the endpoint list.
fn weight_factors(view: &HostView) -> Vec<String> {
    let mut factors = vec![format!("listed weight {}", view.listed_weight)];
    if view.locality_weight < 1.0 {
        factors.push(format!("x {:.3} (locality)", view.locality_weight));
    }
    match view.status {
        HostStatus::Leading => {}
        HostStatus::WeightHalved(halvings) => {
            factors.push(format!("x 1/{} (ranking)", weight_divisor(halvings)))
        }
        HostStatus::Probation(_) => factors.push("x 1/8 (probation)".into()),
        HostStatus::Ejected(_) => factors.push("x 0 (ejected)".into()),
        HostStatus::NotReady => factors.push("x 0 (not ready)".into()),
    }
    if view.is_warming_up {
        let started = view.started_at.map_or(String::new(), |at| format!(", started {}", format::time(at)));
        factors.push(format!(
            "at most {:.0} % in slow start{started}, or less so that the host is not overloaded",
            percent(view.slow_start_factor)
        ));
    }
    factors
}

fn print_table_weights(host: &HostExplanation) {
    for (table, weight) in &host.view.table_weights {
        let share = host.shares.iter().find(|(of, _)| of == table).map_or(0.0, |(_, share)| *share);
        println!("      table {}: weight {weight} ({:.2} % of the table)", table.0, percent(share));
    }
}

fn print_changes(head: &Head, host: &HostExplanation) {
    if host.changes.is_empty() {
        println!("    no changes in the period (--back)");
        return;
    }
    println!("    changes:");
    for change in &host.changes {
        print_change(head, change);
    }
}

fn print_change(head: &Head, change: &HostChange) {
    let (share_before, share_after) = change.share;
    println!(
        "    {} (call {}): {}{:.1} % -> {:.1} % of the zone's tables",
        format::time(change.at),
        change.call,
        status_change(change),
        percent(share_before),
        percent(share_after)
    );
    for notice in &change.notices {
        println!("        notice: {notice}");
    }
    let skipped = change.recent_events.len().saturating_sub(MAX_EVENTS);
    for (at, event) in change.recent_events.iter().skip(skipped) {
        println!("        {}: {}", format::time(*at), format::event(head, event));
    }
}

fn status_change(change: &HostChange) -> String {
    match change.status {
        None => String::new(),
        Some((None, after)) => format!("{}; ", status(after)),
        Some((Some(before), after)) => format!("status: {} -> {}; ", status(before), status(after)),
    }
}
