//! `wingfold replay`: the module over a capture, every answer compared.

use crate::cli::Outcome;
use crate::say;
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::PathBuf;
use std::time::Instant;
use wingfold_archive::{Archive, SegmentFile};
use wingfold_capture::replay::{Damage, Difference, DifferenceKind, ReplayError, ReplayMode, Replayer};
use wingfold_capture::{entries, Head};
use wingfold_director::interface::{Action, Timestamp};

/// Run the module over a capture and compare every answer. Exit code 0: equal, 1: different, 2: cannot be replayed.
#[derive(Args, Debug)]
pub struct Replay {
    /// A segment, or a folder of them
    path: PathBuf,
    /// From this time: 2026-11-30T03:12:05Z, 03:12:05, +90s after the start, or seconds
    #[arg(long)]
    from: Option<String>,
    /// Until this time
    #[arg(long)]
    until: Option<String>,
    /// Go on at differences: what would this build have done, which tables differ, for how long, for whom
    #[arg(long)]
    compare: bool,
    /// The answer as one JSON object
    #[arg(long)]
    json: bool,
}

/// The span of time that was asked for, within a capture.
pub fn span(
    archive: &Archive,
    from: Option<&str>,
    until: Option<&str>,
) -> Result<(Timestamp, Timestamp), String> {
    let start = archive.span().map_or(Timestamp(0), |span| span.0);
    let read = |text: Option<&str>, or| text.map_or(Ok(or), |text| say::parse_time(text, start));
    let (from, until) = (read(from, Timestamp(0))?, read(until, Timestamp(u64::MAX))?);
    if from > until {
        Err("the span ends before it begins".into())
    } else {
        Ok((from, until))
    }
}

/// A bar for long work, where a person looks on.
pub fn bar(length: u64) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{bar:40} {bytes}/{total_bytes} {eta}");
    ProgressBar::new(length).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// Runs a replayer over segments; `look` sees every call that was replayed, before and after it was.
pub fn over(sources: &[&SegmentFile], replayer: &mut Replayer) -> Result<(), (PathBuf, String)> {
    let bar = bar(sources.iter().map(|source| source.meta.bytes).sum());
    for source in sources {
        let failed = |problem: String| (source.path.clone(), problem);
        let bytes = source.read().map_err(|problem| failed(problem.to_string()))?;
        for entry in entries(&bytes) {
            replayer.feed(entry).map_err(|problem: ReplayError| failed(problem.to_string()))?;
            if replayer.is_done() {
                break;
            }
        }
        bar.inc(source.meta.bytes);
    }
    bar.finish_and_clear();
    Ok(())
}

impl Replay {
    /// Replays and tells.
    pub fn run(self) -> Outcome {
        match self.replay() {
            Ok(outcome) => outcome,
            Err(problem) => {
                eprintln!("{problem}");
                Outcome::Unusable
            }
        }
    }

    fn replay(&self) -> Result<Outcome, String> {
        let archive = Archive::open(&self.path).map_err(|problem| problem.to_string())?;
        let (from, until) = span(&archive, self.from.as_deref(), self.until.as_deref())?;
        let mode = if self.compare { ReplayMode::Compare } else { ReplayMode::Strict };
        let mut replayer = Replayer::new(mode).between(from, until);
        let sources: Vec<&SegmentFile> = archive.within(from, until).collect();
        let begun = Instant::now();
        over(&sources, &mut replayer).map_err(|(path, problem)| format!("{}: {problem}", path.display()))?;
        let took = begun.elapsed().as_secs_f64();
        let report = &replayer.report;
        if report.calls == 0 {
            return Err(format!("{}: no call could be replayed in that span", self.path.display()));
        }
        if self.json {
            self.tell_json(&replayer, took);
        } else {
            self.tell(&archive, &replayer, took);
        }
        Ok(if report.differences == 0 { Outcome::Good } else { Outcome::Different })
    }

    fn tell(&self, archive: &Archive, replayer: &Replayer, took: f64) {
        let (report, head) = (&replayer.report, replayer.head());
        for path in &archive.unreadable {
            println!("unreadable: {}", path.display());
        }
        for Damage { segment, offset, fault } in &report.damage {
            println!("segment {segment}, byte {offset}: {fault}");
        }
        for gap in &report.gaps {
            println!("not recorded: calls {} to {} ({})", gap.from, gap.to, gap.reason);
        }
        let now = wingfold_node::build();
        if report.builds.iter().any(|build| *build != now) {
            println!("recorded by {}, replayed by {now}", report.builds.join(", "));
        }
        let span = report.span.map_or(String::new(), |(first, last)| {
            format!(" from {} to {}", say::time(first), say::time(last))
        });
        println!(
            "{}: {} calls with {} events{span}, {} states compared, {:.0} s in {took:.2} s",
            head.director, report.calls, report.events, report.compared_states, report.duration_s
        );
        if report.skipped_calls > 0 {
            println!("{} calls could not be replayed: what they follow from is lost", report.skipped_calls);
        }
        match &replayer.first_difference {
            None => println!("equal: every answer, every table, every state"),
            Some(first) => {
                println!("different: {} calls", report.differences);
                tell_difference(head, first);
            }
        }
        if self.compare {
            for ((zone, mask), tables) in replayer.divergences() {
                let secs = tables.iter().map(|(_, apart)| apart.total_s).fold(0.0, f64::max);
                let all: f64 = tables.iter().map(|(_, apart)| apart.total_s).sum();
                let first = tables.iter().filter_map(|(_, apart)| apart.first).min().unwrap_or_default();
                let moved = tables.iter().map(|(_, apart)| apart.max_moved_share).fold(0.0, f64::max);
                let lines = tables.iter().map(|(_, apart)| apart.max_entries).max().unwrap_or(0);
                let levels =
                    if tables.iter().any(|(_, apart)| apart.admission_differs) { ", levels too" } else { "" };
                println!(
                    "{} {}: {} tables differ from {} on, the longest for {secs:.1} s ({all:.1} s in all), up to {lines} \
                     lines and {:.0} % of the weight{levels}",
                    zone.0,
                    say::classes(head, wingfold_director::interface::ClassMask(mask)),
                    tables.len(),
                    say::time(first),
                    100.0 * moved
                );
            }
        }
    }

    fn tell_json(&self, replayer: &Replayer, took: f64) {
        let report = &replayer.report;
        let apart = replayer.divergences().into_iter().flat_map(|((zone, mask), tables)| {
            let row = move |(table, apart): (wingfold_director::interface::TableId, wingfold_capture::replay_state::Divergence)| {
                serde_json::json!({"zone": &*zone.0, "classes": mask, "table": table.0, "first_s": apart.first.map(Timestamp::secs),
                    "secs": apart.total_s, "lines": apart.max_entries, "moved": apart.max_moved_share, "levels": apart.admission_differs})
            };
            tables.into_iter().map(row)
        });
        let apart: Vec<_> = apart.collect();
        let gaps: Vec<_> = report
            .gaps
            .iter()
            .map(|g| serde_json::json!({"from": g.from, "to": g.to, "reason": g.reason.to_string()}))
            .collect();
        let damage: Vec<_> = report
            .damage
            .iter()
            .map(|damage| {
                let fault = damage.fault.to_string();
                serde_json::json!({"segment": damage.segment, "offset": damage.offset, "fault": fault})
            })
            .collect();
        let first = replayer.first_difference.as_ref().map(|first| {
            let what = match first.kind {
                DifferenceKind::Actions { .. } => "actions",
                DifferenceKind::Tables { .. } => "tables",
                DifferenceKind::State => "state",
            };
            serde_json::json!({"call": first.call, "at_s": first.at.secs(), "what": what})
        });
        println!(
            "{}",
            serde_json::json!({"name": replayer.head().director, "builds": report.builds, "calls": report.calls, "events": report.events,
                "states": report.compared_states, "skipped": report.skipped_calls, "gaps": gaps, "damage": damage, "differences": report.differences,
                "first": first, "secs": report.duration_s, "took_s": took, "apart": apart})
        );
    }
}

/// The first difference: the call, what the module was told, what it answered then and now.
pub fn tell_difference(head: &Head, first: &Difference) {
    println!("first at call {}, {}:", first.call, say::time(first.at));
    match &first.kind {
        DifferenceKind::Tables { recorded, replayed } => {
            println!("  the tables: {recorded:016x} then, {replayed:016x} now")
        }
        DifferenceKind::State => {
            println!("  the state before this call, with equal tables and answers up to it")
        }
        DifferenceKind::Actions { events, recorded, replayed } => {
            for event in events {
                println!("  told: {}", say::event(head, event));
            }
            let bytes =
                |action: &Action| wingfold_capture::model::encode_actions(std::slice::from_ref(action));
            let same = recorded
                .iter()
                .zip(replayed)
                .take_while(|(recorded, replayed)| bytes(recorded) == bytes(replayed))
                .count();
            if same > 0 {
                println!("  the same: {same} orders");
            }
            let show = |word: &str, orders: &[Action]| {
                for action in orders.iter().skip(same).take(40) {
                    println!("  {word}: {}", say::action(head, action));
                }
            };
            show("then", recorded);
            show("now", replayed);
        }
    }
}
