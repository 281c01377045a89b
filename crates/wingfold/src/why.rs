//! `wingfold why`: why the tables held what they held, in words.

use crate::cli::Outcome;
use crate::replay::{bar, span};
use crate::say;
use clap::Args;
use std::path::PathBuf;
use std::time::Duration;
use wingfold_archive::{Archive, SegmentFile};
use wingfold_capture::explain::{Explanation, HostChange, HostExplanation, Question, ReplayObserver};
use wingfold_capture::replay::{ReplayMode, Replayer};
use wingfold_capture::{entries, Head};
use wingfold_director::inspect::HostStatus;
use wingfold_director::interface::{HostId, Micros, ProxyId, Readiness, Timestamp, ZoneId};

/// Why did the tables hold what they held? Without `--host`, a line for each host; with it, its whole story.
#[derive(Args, Debug)]
pub struct Why {
    /// A segment, or a folder of them
    path: PathBuf,
    /// At this time: 2026-11-30T03:12:05Z, 03:12:05, +90s after the start, or seconds; else at the end
    #[arg(long)]
    at: Option<String>,
    /// Only what proxies of this zone go by
    #[arg(long)]
    zone: Option<String>,
    /// Only this host
    #[arg(long)]
    host: Option<String>,
    /// Only the tables of this proxy
    #[arg(long)]
    proxy: Option<u32>,
    /// Only the level of this class, and hosts it may go to
    #[arg(long)]
    class: Option<String>,
    /// What moved hosts is told from so long before
    #[arg(long, default_value = "30s")]
    back: String,
    /// The answer as one JSON object
    #[arg(long)]
    json: bool,
}

impl Why {
    /// Answers.
    pub fn run(self) -> Outcome {
        match self.answer() {
            Ok(()) => Outcome::Good,
            Err(problem) => {
                eprintln!("{problem}");
                Outcome::Unusable
            }
        }
    }

    fn answer(&self) -> Result<(), String> {
        let archive = Archive::open(&self.path).map_err(|problem| problem.to_string())?;
        let end = archive.span().map_or(Timestamp(0), |span| span.1);
        let (_, at) = span(&archive, None, self.at.as_deref())?;
        let at = at.min(end);
        let back: Duration =
            humantime::parse_duration(&self.back).map_err(|_| format!("`{}` is no time", self.back))?;
        let back = Micros(back.as_micros() as u64);
        let question = Question {
            at,
            lookback: back,
            zone: self.zone.as_deref().map(|zone| ZoneId(zone.into())),
            host: self.host.as_deref().map(|host| HostId(host.into())),
            proxy: self.proxy.map(ProxyId),
        };
        let (mut replayer, mut onlooker) =
            (Replayer::new(ReplayMode::Strict).between(Timestamp(0), at), ReplayObserver::new(question));
        // From the segment that holds the beginning of the span on: each starts from a state of its own.
        let begins = Timestamp(at.0.saturating_sub(back.0));
        let mut sources: Vec<&SegmentFile> = archive.within(begins, at).collect();
        if sources.is_empty() {
            sources.extend(archive.segments.iter().rfind(|source| source.meta.first.at <= at));
        }
        let bar = bar(sources.iter().map(|source| source.meta.bytes).sum());
        for source in &sources {
            let bytes = source.read().map_err(|problem| format!("{}: {problem}", source.path.display()))?;
            for entry in entries(&bytes) {
                let fed = replayer
                    .feed(entry)
                    .map_err(|problem| format!("{}: {problem}", source.path.display()))?;
                let fed = fed.map(|(call, actions)| (call, actions.to_vec()));
                if let (Some((call, actions)), Some(director)) = (fed, replayer.director()) {
                    onlooker.observe(&call, &actions, director);
                }
                if replayer.is_done() {
                    break;
                }
            }
            bar.inc(source.meta.bytes);
        }
        bar.finish_and_clear();
        let head = replayer.head().clone();
        let class = match &self.class {
            None => None,
            Some(name) => {
                Some((0..head.settings.classes.len()).find(|at| say::class(&head, *at) == *name).ok_or_else(
                    || {
                        let known: Vec<String> =
                            (0..head.settings.classes.len()).map(|at| say::class(&head, at)).collect();
                        format!("there is no class `{name}`; here are {}", known.join(", "))
                    },
                )?)
            }
        };
        let Some(director) = replayer.director() else {
            return Err(format!(
                "{}: nothing could be replayed up to {}",
                self.path.display(),
                say::time(at)
            ));
        };
        let answer = onlooker.explain(&replayer, director);
        self.known(&answer)?;
        if replayer.report.differences > 0 {
            eprintln!("note: this build answers {} calls otherwise than they were answered; what follows is this build's view", replayer.report.differences);
        }
        if self.json {
            let text = serde_json::to_string_pretty(&answer).map_err(|problem| problem.to_string())?;
            println!("{text}");
        } else {
            tell(&head, &answer, self.host.is_some(), class);
        }
        Ok(())
    }

    /// A name that nobody knows is a mistake to be told, not an empty answer.
    fn known(&self, answer: &Explanation) -> Result<(), String> {
        if !answer.hosts.is_empty() {
            return Ok(());
        }
        let at = say::time(answer.at);
        Err(match (self.proxy, &self.host, &self.zone) {
            (Some(proxy), ..) => format!("proxy {proxy} was not joined to this director at {at}"),
            (_, Some(host), _) => format!("no host `{host}` was known at {at} (or no such zone)"),
            (_, _, Some(zone)) => format!("no zone `{zone}` was known at {at}"),
            _ => format!("no host was known at {at}"),
        })
    }
}

fn tell(head: &Head, answer: &Explanation, whole: bool, class: Option<usize>) {
    let fleet = &answer.fleet;
    println!(
        "{} at call {}, {}: {} hosts, {} proxies joined, {:.0} % of the work let in, median loss {:.1} %, median answer {}, \
         load {:.2}, {:.0} lines in the channel",
        answer.director,
        answer.call,
        say::time(answer.at),
        fleet.hosts,
        fleet.proxies,
        100.0 * fleet.admission_ratio,
        100.0 * fleet.median_loss,
        fleet.median_latency_ms.map_or("not known".into(), |ms| format!("{ms:.0} ms")),
        fleet.utilization,
        fleet.queued_lines
    );
    for zone in &answer.zones {
        let levels =
            zone.admission_levels.iter().enumerate().filter(|(at, _)| class.is_none_or(|class| class == *at));
        let levels: Vec<String> =
            levels.map(|(at, level)| format!("{} {level}", say::class(head, at))).collect();
        println!(
            "\nzone {}: {} proxies, usual loss {:.1} %, the leading group is measured by {}; levels: {}",
            zone.zone.0,
            zone.proxies,
            100.0 * zone.baseline_loss,
            zone.leading_score.map_or("no score yet".into(), |lead| format!("score {lead:.0}")),
            levels.join(", ")
        );
        let may = |host: &&HostExplanation| {
            let class = class.and_then(|at| head.settings.classes.get(at));
            class.is_none_or(|class| {
                let view = &host.view;
                (!class.own_zone_only || view.host_zone == view.zone)
                    && (class.allowed_zones.is_empty() || class.allowed_zones.contains(&view.host_zone))
                    && (class.allowed_machine_types.is_empty()
                        || class.allowed_machine_types.contains(&view.machine_type))
            })
        };
        for host in answer.hosts.iter().filter(|host| host.view.zone == zone.zone).filter(may) {
            match whole {
                true => story(head, host),
                false => println!("  {:<24} {}", host.view.host.0, line(host)),
            }
        }
    }
}

/// How a zone treats a host, in words.
fn standing(standing: HostStatus) -> String {
    match standing {
        HostStatus::Leading => "in the leading group".into(),
        HostStatus::WeightHalved(step) => format!("a laggard at 1/{} of its weight", 1u32 << step.min(31)),
        HostStatus::Ejected(until) => format!("out until {} at least", say::time(until)),
        HostStatus::Probation(until) => {
            format!("on trial at an eighth, until it answers or {}", say::time(until))
        }
        HostStatus::NotReady => "leaving: it drains or is gone".into(),
    }
}

fn share(host: &HostExplanation) -> String {
    let held: Vec<f64> = host.shares.iter().map(|(_, share)| *share).collect();
    let least = held.iter().copied().fold(f64::INFINITY, f64::min);
    let most = held.iter().copied().fold(0.0, f64::max);
    match most {
        0.0 => "in no table".into(),
        _ if most - least < 0.001 => format!("{:.1} % of each table", 100.0 * most),
        _ => format!("{:.1} to {:.1} % of {} tables", 100.0 * least, 100.0 * most, held.len()),
    }
}

fn line(host: &HostExplanation) -> String {
    let view = &host.view;
    let score = view.score.map_or("no score".into(), |score| format!("score {score:.0}"));
    let cold = if view.is_warming_up {
        format!(", cold: at most {:.0} %", 100.0 * view.slow_start_factor)
    } else {
        String::new()
    };
    format!("{}; {score}, {}{cold}", share(host), standing(view.status))
}

fn story(head: &Head, host: &HostExplanation) {
    let view = &host.view;
    println!(
        "  {} of {} ({}), as zone {} sees it:",
        view.host.0, view.host_zone.0, view.machine_type, view.zone.0
    );
    println!("    now: {}, {}", standing(view.status), share(host));
    if view.readiness != Readiness::Ready {
        println!(
            "    the list says it is {}",
            if view.readiness == Readiness::Removed { "gone" } else { "draining" }
        );
    }
    if view.removal_suspected {
        println!("    the list calls it gone, which is advice here: it stays until its answers fail");
    }
    let known = |value: Option<f64>| value.map_or("not known".into(), |value| format!("{value:.0}"));
    println!(
        "    score {} = {} ms latency + 100 ms for each of {:.1} % loss; the leading group is measured by {}",
        known(view.score),
        known(view.latency_ms),
        100.0 * view.loss_ratio,
        known(view.leading_score)
    );
    println!(
        "    {:.0} tries of this zone lost in a row, {:.0} of all zones useless in a row, {:.1} tries missed since it was last \
         heard of, {} rounds speak for its next step",
        view.consecutive_failures, view.consecutive_useless, view.missed_attempts, view.confirming_rounds
    );
    if let Some((busy, at)) = view.utilization {
        println!("    its cores were {:.0} % busy, told at {}", 100.0 * busy, say::time(at));
    }
    let mut parts = vec![format!("listed {}", view.listed_weight)];
    if view.locality_weight < 1.0 {
        parts.push(format!("x {:.3} for its distance", view.locality_weight));
    }
    match view.status {
        HostStatus::WeightHalved(step) => parts.push(format!("x 1/{} as a laggard", 1u32 << step.min(31))),
        HostStatus::Probation(_) => parts.push("x 1/8 on trial".into()),
        HostStatus::Ejected(_) | HostStatus::NotReady => parts.push("x 0".into()),
        HostStatus::Leading => {}
    }
    if view.is_warming_up {
        let started = view.started_at.map_or(String::new(), |at| format!(", started {}", say::time(at)));
        parts.push(format!(
            "at most {:.0} % while cold{started}, and what a cold host is spared",
            100.0 * view.slow_start_factor
        ));
    }
    println!("    weight: {}", parts.join(" "));
    for (table, weight) in &view.table_weights {
        let share = host.shares.iter().find(|(of, _)| of == table).map_or(0.0, |(_, share)| *share);
        println!("      table {}: {weight} ({:.2} % of it)", table.0, 100.0 * share);
    }
    match host.changes.is_empty() {
        true => println!("    nothing moved it in the time looked at"),
        false => println!("    what moved it:"),
    }
    host.changes.iter().for_each(|one| tell_move(head, one));
}

fn tell_move(head: &Head, one: &HostChange) {
    let turned = one.status.map(|(was, is)| match was {
        Some(was) => format!("from {} to {}", standing(was), standing(is)),
        None => standing(is),
    });
    println!(
        "    {} (call {}): {}{:.1} % -> {:.1} % of the zone's tables",
        say::time(one.at),
        one.call,
        turned.map_or(String::new(), |turned| format!("{turned}; ")),
        100.0 * one.share.0,
        100.0 * one.share.1
    );
    one.notices.iter().for_each(|text| println!("        it noted: {text}"));
    let skip = one.recent_events.len().saturating_sub(8);
    for (at, event) in one.recent_events.iter().skip(skip) {
        println!("        {}: {}", say::time(*at), say::event(head, event));
    }
}
