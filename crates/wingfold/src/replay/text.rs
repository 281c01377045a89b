//! Prints the result of a replay as text.

use crate::format;
use wingfold_archive::Archive;
use wingfold_capture::model::encode_actions;
use wingfold_capture::replay::{Damage, Difference, DifferenceKind, ReplayReport, Replayer};
use wingfold_capture::replay_state::Divergence;
use wingfold_capture::Head;
use wingfold_director::interface::{Action, ClassMask, Event, TableId, ZoneId};

/// The maximum number of actions of a call that are shown.
const MAX_ACTIONS: usize = 40;

/// Prints what is missing in the capture, the totals of the replay, and the first difference.
pub fn print(archive: &Archive, replayer: &Replayer, elapsed_s: f64) {
    print_missing(archive, &replayer.report);
    print_builds(&replayer.report);
    print_totals(replayer.head(), &replayer.report, elapsed_s);
    match &replayer.first_difference {
        None => println!("equal: all actions, tables and states"),
        Some(first) => {
            println!("different: {} calls differ", replayer.report.differences);
            print_difference(replayer.head(), first);
        }
    }
}

fn print_missing(archive: &Archive, report: &ReplayReport) {
    for path in &archive.unreadable {
        println!("unreadable segment: {}", path.display());
    }
    for Damage { segment, offset, fault } in &report.damage {
        println!("segment {segment}, byte {offset}: {fault}");
    }
    for gap in &report.gaps {
        println!("not recorded: calls {} to {} ({})", gap.from, gap.to, gap.reason);
    }
}

fn print_builds(report: &ReplayReport) {
    let this_build = wingfold_node::build_id();
    if report.builds.iter().any(|build| *build != this_build) {
        println!("recorded by build {}, replayed by build {this_build}", report.builds.join(", "));
    }
}

fn print_totals(head: &Head, report: &ReplayReport, elapsed_s: f64) {
    let span = report.span.map_or(String::new(), |(first, last)| {
        format!(" from {} to {}", format::time(first), format::time(last))
    });
    println!(
        "{}: {} calls with {} events{span}, {} states compared, \
         {:.0} s replayed in {elapsed_s:.2} s",
        head.director, report.calls, report.events, report.compared_states, report.duration_s
    );
    if report.skipped_calls > 0 {
        println!("{} calls could not be replayed: calls before them are missing", report.skipped_calls);
    }
}

/// Prints the first difference: the call, its events, and the recorded and the replayed result.
fn print_difference(head: &Head, first: &Difference) {
    println!("first difference at call {}, {}:", first.call, format::time(first.at));
    match &first.kind {
        DifferenceKind::Tables { recorded, replayed } => {
            println!("  digest of all tables: recorded {recorded:016x}, replayed {replayed:016x}")
        }
        DifferenceKind::State => {
            println!(
                "  state: differs from the checkpoint before this call; \
                 actions and tables up to it are equal"
            )
        }
        DifferenceKind::Actions { events, recorded, replayed } => {
            print_different_actions(head, events, recorded, replayed)
        }
    }
}

fn print_different_actions(head: &Head, events: &[Event], recorded: &[Action], replayed: &[Action]) {
    for event in events {
        println!("  event: {}", format::event(head, event));
    }
    let pairs = recorded.iter().zip(replayed);
    let equal = pairs.take_while(|(recorded, replayed)| have_same_encoding(recorded, replayed)).count();
    if equal > 0 {
        println!("  equal actions: {equal}");
    }
    let print_rest = |label: &str, actions: &[Action]| {
        for action in actions.iter().skip(equal).take(MAX_ACTIONS) {
            println!("  {label}: {}", format::action(head, action));
        }
    };
    print_rest("recorded", recorded);
    print_rest("replayed", replayed);
}

/// Whether two actions have the same encoding, so that floating-point values are compared bit by bit.
fn have_same_encoding(recorded: &Action, replayed: &Action) -> bool {
    let encode = |action: &Action| encode_actions(std::slice::from_ref(action));
    encode(recorded) == encode(replayed)
}

/// Prints a line for each zone and group of classes with tables that this build would have filled
/// differently.
pub fn print_divergences(replayer: &Replayer) {
    for ((zone, mask), tables) in replayer.divergences() {
        println!("{}", divergence_line(replayer.head(), &zone, ClassMask(mask), &tables));
    }
}

fn divergence_line(
    head: &Head,
    zone: &ZoneId,
    classes: ClassMask,
    tables: &[(TableId, Divergence)],
) -> String {
    let divergences = || tables.iter().map(|(_, divergence)| divergence);
    let longest_s = divergences().map(|divergence| divergence.total_s).fold(0.0, f64::max);
    let total_s: f64 = divergences().map(|divergence| divergence.total_s).sum();
    let first = divergences().filter_map(|divergence| divergence.first).min().unwrap_or_default();
    let moved_share = divergences().map(|divergence| divergence.max_moved_share).fold(0.0, f64::max);
    let entries = divergences().map(|divergence| divergence.max_entries).max().unwrap_or(0);
    let admission_differs = divergences().any(|divergence| divergence.admission_differs);
    format!(
        "zone {}, {}: {} tables differ from {} on, \
         the longest for {longest_s:.1} s ({total_s:.1} s in total), \
         in up to {entries} entries and {:.0} % of the weight{}",
        zone.0,
        format::class_names(head, classes),
        tables.len(),
        format::time(first),
        100.0 * moved_share,
        if admission_differs { ", and in admission levels" } else { "" }
    )
}
