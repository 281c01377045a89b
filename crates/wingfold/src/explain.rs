//! `wingfold explain`: why the tables held what they held at a time.

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

/// Why did the tables hold what they held? Without `--host`, a line for each host; with it, its whole story.
#[derive(Args, Debug)]
pub struct Explain {
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
    #[arg(long = "back", value_name = "BACK", default_value = "30s")]
    lookback: String,
    /// The answer as one JSON object
    #[arg(long)]
    json: bool,
}

/// Why nothing can be explained.
#[derive(Debug, Error)]
enum ExplainError {
    /// The capture cannot be opened.
    #[error(transparent)]
    Archive(#[from] ArchiveError),
    /// One of its segments cannot be replayed.
    #[error(transparent)]
    Segment(#[from] SegmentError),
    /// The time is none.
    #[error(transparent)]
    Time(#[from] TimeError),
    /// The duration is none.
    #[error("`{0}` is no time")]
    Lookback(String),
    /// No call before the time can be replayed.
    #[error("{}: nothing could be replayed up to {}", path.display(), format::time(*at))]
    NoCalls { path: PathBuf, at: Timestamp },
    /// The settings have no class of this name.
    #[error("there is no class `{name}`; here are {}", known.join(", "))]
    UnknownClass { name: String, known: Vec<String> },
    /// The proxy had no stream to this director.
    #[error("proxy {proxy} was not joined to this director at {}", format::time(*at))]
    UnknownProxy { proxy: u32, at: Timestamp },
    /// No host of this name was in the endpoint list.
    #[error("no host `{host}` was known at {} (or no such zone)", format::time(*at))]
    UnknownHost { host: String, at: Timestamp },
    /// No zone of this name had hosts.
    #[error("no zone `{zone}` was known at {}", format::time(*at))]
    UnknownZone { zone: String, at: Timestamp },
    /// The endpoint list was empty.
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
        note_differences(&replayer);
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

    /// The index of the class that was named, if one was.
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

    /// Checks that an explanation without hosts is not due to a name that nobody knows.
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

/// Replays a capture up to the time of a question and observes what the question is about.
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

/// The segments from the one that holds the beginning of the question's time on: each starts from a
/// checkpoint.
fn segments_for<'a>(archive: &'a Archive, question: &Question) -> Vec<&'a SegmentFile> {
    let start = Timestamp(question.at.0.saturating_sub(question.lookback.0));
    let mut segments: Vec<&SegmentFile> = archive.within(start, question.at).collect();
    if segments.is_empty() {
        segments.extend(archive.segments.iter().rfind(|segment| segment.meta.first.at <= question.at));
    }
    segments
}

fn note_differences(replayer: &Replayer) {
    let differences = replayer.report.differences;
    if differences > 0 {
        eprintln!("note: this build answers {differences} calls otherwise than they were answered; what follows is this build's view");
    }
}
