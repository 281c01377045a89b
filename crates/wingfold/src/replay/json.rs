//! Prints the result of a replay as one JSON object. Other programs read the object, so its keys must not
//! change.

use serde_json::{json, Value};
use wingfold_capture::replay::{Damage, Difference, DifferenceKind, Replayer};
use wingfold_capture::replay_state::Divergence;
use wingfold_capture::Gap;
use wingfold_director::interface::{TableId, Timestamp, ZoneId};

/// Prints the result as a JSON object on one line.
pub fn print(replayer: &Replayer, elapsed_s: f64) {
    let report = &replayer.report;
    let object = json!({
        "name": replayer.head().director,
        "builds": report.builds,
        "calls": report.calls,
        "events": report.events,
        "states": report.compared_states,
        "skipped": report.skipped_calls,
        "gaps": report.gaps.iter().map(gap).collect::<Vec<Value>>(),
        "damage": report.damage.iter().map(damage).collect::<Vec<Value>>(),
        "differences": report.differences,
        "first": replayer.first_difference.as_ref().map(difference),
        "secs": report.duration_s,
        "took_s": elapsed_s,
        "apart": divergences(replayer),
    });
    println!("{object}");
}

fn gap(gap: &Gap) -> Value {
    json!({"from": gap.from, "to": gap.to, "reason": gap.reason.to_string()})
}

fn damage(damage: &Damage) -> Value {
    json!({"segment": damage.segment, "offset": damage.offset, "fault": damage.fault.to_string()})
}

fn difference(difference: &Difference) -> Value {
    let kind = match difference.kind {
        DifferenceKind::Actions { .. } => "actions",
        DifferenceKind::Tables { .. } => "tables",
        DifferenceKind::State => "state",
    };
    json!({"call": difference.call, "at_s": difference.at.secs(), "what": kind})
}

fn divergences(replayer: &Replayer) -> Vec<Value> {
    let mut rows = Vec::new();
    for ((zone, classes), tables) in replayer.divergences() {
        rows.extend(tables.iter().map(|(table, entry)| divergence(&zone, classes, *table, entry)));
    }
    rows
}

fn divergence(zone: &ZoneId, classes: u64, table: TableId, divergence: &Divergence) -> Value {
    json!({
        "zone": &*zone.0,
        "classes": classes,
        "table": table.0,
        "first_s": divergence.first.map(Timestamp::secs),
        "secs": divergence.total_s,
        "lines": divergence.max_entries,
        "moved": divergence.max_moved_share,
        "levels": divergence.admission_differs,
    })
}
