//! `wingfold explain`: explains why hosts had their weights in the tables at a time.

mod text;

use crate::cli::Outcome;
use crate::format::{self, TimeError};
use crate::segments::{for_each_entry, SegmentError};
use crate::time_range::parse_time_in;
use clap::Args;
use std::ops::ControlFlow;
use std::path::PathBuf;
use thiserror::Error;
use wingfold_archive::{Archive, ArchiveError, SegmentFile};
use wingfold_capture::explain::{Explanation, Question, ReplayObserver};
use wingfold_capture::replay::{ReplayMode, Replayer};
use wingfold_capture::Head;
use wingfold_director::interface::{HostId, Micros, ProxyId, Timestamp, ZoneId};

/// Explain why hosts had their weights in the tables at a time. Prints one line for each host, or with
/// `--host` all details and recent changes of that host.
#[derive(Args, Debug)]
pub struct Explain {
    /// A segment file, or a directory of segments
    path: PathBuf,
    /// The time to explain: 2026-11-30T03:12:05Z, 03:12:05, +90s (after the capture's start) or seconds;
    /// without this option, the end of the capture
    #[arg(long)]
    at: Option<String>,
    /// Show only the tables of proxies in this zone
    #[arg(long)]
    zone: Option<String>,
    /// Show only this host, with all details and its recent changes
    #[arg(long)]
    host: Option<String>,
    /// Show only the zone and the tables of this proxy
    #[arg(long)]
    proxy: Option<u32>,
    /// Show only the admission level of this class and the hosts that its requests may use
    #[arg(long)]
    class: Option<String>,
    /// Show changes of hosts within this period before the time
    #[arg(long = "back", value_name = "BACK", default_value = "30s")]
    lookback: String,
    /// Print the explanation as one JSON object
    #[arg(long)]
    json: bool,
}

/// Why `wingfold explain` failed.
#[derive(Debug, Error)]
enum ExplainError {
    /// The capture cannot be opened.
    #[error(transparent)]
    Archive(#[from] ArchiveError),
    /// A segment cannot be read or replayed.
    #[error(transparent)]
    Segment(#[from] SegmentError),
    /// The time cannot be parsed.
    #[error(transparent)]
    Time(#[from] TimeError),
    /// The lookback cannot be parsed.
    #[error("--back: `{0}` is not a duration, such as 30s or 5min")]
    Lookback(String),
    /// No call at or before the time can be replayed.
    #[error("{}: no call up to {} could be replayed", path.display(), format::time(*at))]
    NoCalls { path: PathBuf, at: Timestamp },
    /// The settings have no class of this name.
    #[error("no class `{name}` in the settings; known classes: {}", known.join(", "))]
    UnknownClass { name: String, known: Vec<String> },
    /// The proxy was not connected to this director.
    #[error("proxy {proxy} was not connected to this director at {}", format::time(*at))]
    UnknownProxy { proxy: u32, at: Timestamp },
    /// The director did not know the host, or had no such zone.
    #[error("no host `{host}` was known at {}, or the zone was unknown", format::time(*at))]
    UnknownHost { host: String, at: Timestamp },
    /// The director had no such zone, or knew no hosts.
    #[error("zone `{zone}` was unknown at {}, or no host was known", format::time(*at))]
    UnknownZone { zone: String, at: Timestamp },
    /// The director knew no hosts.
    #[error("no host was known at {}", format::time(*at))]
    NoHosts { at: Timestamp },
    /// The explanation cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl Explain {
    /// Runs the command.
    pub fn run(self) -> Outcome {
        Outcome::from_result(self.explain().map(|()| Outcome::Success))
    }

    fn explain(&self) -> Result<(), ExplainError> {
        let archive = Archive::open(&self.path)?;
        let question = self.question(&archive)?;
        let at = question.at;
        let (replayer, observer) = replay_up_to(&archive, question)?;
        let class = self.class_index(replayer.head())?;
        let Some(director) = replayer.director() else {
            return Err(ExplainError::NoCalls { path: self.path.clone(), at });
        };
        let explanation = observer.explain(&replayer, director);
        self.check_names(&explanation)?;
        warn_of_differences(&replayer);
        if self.json {
            println!("{}", serde_json::to_string_pretty(&explanation)?);
        } else {
            text::print(replayer.head(), &explanation, self.host.is_some(), class);
        }
        Ok(())
    }

    fn question(&self, archive: &Archive) -> Result<Question, ExplainError> {
        let end = archive.span().map_or(Timestamp(0), |(_, last)| last);
        let at = parse_time_in(archive, self.at.as_deref())?.unwrap_or(end).min(end);
        let lookback = humantime::parse_duration(&self.lookback)
            .map_err(|_| ExplainError::Lookback(self.lookback.clone()))?;
        Ok(Question {
            at,
            lookback: Micros(lookback.as_micros() as u64),
            zone: self.zone.as_deref().map(|zone| ZoneId(zone.into())),
            host: self.host.as_deref().map(|host| HostId(host.into())),
            proxy: self.proxy.map(ProxyId),
        })
    }

    /// The index of the class that `--class` names; `None` without the option.
    fn class_index(&self, head: &Head) -> Result<Option<usize>, ExplainError> {
        let Some(name) = &self.class else {
            return Ok(None);
        };
        let known: Vec<String> =
            (0..head.settings.classes.len()).map(|index| format::class_name(head, index)).collect();
        match known.iter().position(|class| class == name) {
            Some(index) => Ok(Some(index)),
            None => Err(ExplainError::UnknownClass { name: name.clone(), known }),
        }
    }

    /// Rejects an explanation without hosts. The error names the proxy, host or zone of the command line.
    fn check_names(&self, explanation: &Explanation) -> Result<(), ExplainError> {
        if !explanation.hosts.is_empty() {
            return Ok(());
        }
        let at = explanation.at;
        Err(match (self.proxy, &self.host, &self.zone) {
            (Some(proxy), ..) => ExplainError::UnknownProxy { proxy, at },
            (_, Some(host), _) => ExplainError::UnknownHost { host: host.clone(), at },
            (_, _, Some(zone)) => ExplainError::UnknownZone { zone: zone.clone(), at },
            _ => ExplainError::NoHosts { at },
        })
    }
}

/// Replays a capture up to the time of a question and collects the data of its explanation.
fn replay_up_to(archive: &Archive, question: Question) -> Result<(Replayer, ReplayObserver), SegmentError> {
    let segments = segments_for(archive, &question);
    let mut replayer = Replayer::new(ReplayMode::Strict).between(Timestamp(0), question.at);
    let mut observer = ReplayObserver::new(question);
    for_each_entry(&segments, |entry| {
        let replayed = replayer.feed(entry)?.map(|(call, actions)| (call, actions.to_vec()));
        if let (Some((call, actions)), Some(director)) = (replayed, replayer.director()) {
            observer.observe(&call, &actions, director);
        }
        Ok(if replayer.is_done() { ControlFlow::Break(()) } else { ControlFlow::Continue(()) })
    })?;
    Ok((replayer, observer))
}

/// The segments that overlap the question's time and lookback, or else the last segment before the time. Each
/// segment starts with a checkpoint, so earlier segments are not needed.
fn segments_for<'a>(archive: &'a Archive, question: &Question) -> Vec<&'a SegmentFile> {
    let start = Timestamp(question.at.0.saturating_sub(question.lookback.0));
    let mut segments: Vec<&SegmentFile> = archive.within(start, question.at).collect();
    if segments.is_empty() {
        segments.extend(archive.segments.iter().rfind(|segment| segment.meta.first.at <= question.at));
    }
    segments
}

/// Warns on standard error if the replay differs from the recording.
fn warn_of_differences(replayer: &Replayer) {
    let differences = replayer.report.differences;
    if differences > 0 {
        eprintln!(
            "note: the actions of this build differ from the recorded ones in {differences} calls; \
             the explanation shows the state of this build"
        );
    }
}
