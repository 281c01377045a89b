//! The slowest and the latest failed runs of each stage of message processing, a bounded number of each. Each
//! run of a stage is a `tracing` span, which a layer of the subscriber observes.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Level, Subscriber};
use tracing_subscriber::layer::Context;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::Layer;

/// The target of the spans of stages; no other span is observed.
pub const SPAN_TARGET: &str = "wingfold::stage";
/// Number of slow runs, and of failed runs, that are kept for each stage.
const MAX_RUNS_PER_LIST: usize = 8;
/// Age after which a slow run gives way to any newer run, even a faster one.
const SLOW_RUN_EXPIRY: Duration = Duration::from_secs(300);

/// One run of a stage that was slow or failed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StageRun {
    /// The stage: `take in`, `admit`, `route`, `send`, `relay` or `book`.
    pub stage: &'static str,
    /// The number of the decision module's call that the stage belongs to, if any.
    pub call: Option<u64>,
    /// Duration of the run, in microseconds.
    pub took_us: u64,
    /// When the run ended, in seconds of Unix time.
    #[serde(rename = "at")]
    pub ended_at_s: f64,
    /// Why the run failed; `None` if it succeeded.
    pub failed: Option<String>,
}

/// A run, with the instant at which it ended, from which its age is computed.
#[derive(Clone, Debug)]
struct KeptRun {
    ended: Instant,
    run: StageRun,
}

/// The runs that are kept for one stage.
#[derive(Debug, Default)]
struct RunsOfStage {
    /// Slowest first.
    slow: Vec<KeptRun>,
    /// Oldest first.
    failed: Vec<KeptRun>,
}

impl RunsOfStage {
    fn keep_failed(&mut self, run: KeptRun) {
        if self.failed.len() == MAX_RUNS_PER_LIST {
            self.failed.remove(0);
        }
        self.failed.push(run);
    }

    fn keep_slow(&mut self, new: KeptRun) {
        if self.slow.len() == MAX_RUNS_PER_LIST {
            self.slow.retain(|kept| new.ended.duration_since(kept.ended) < SLOW_RUN_EXPIRY);
        }
        let is_full = self.slow.len() == MAX_RUNS_PER_LIST;
        if is_full && self.slow.last().is_some_and(|fastest| fastest.run.took_us >= new.run.took_us) {
            return;
        }
        self.slow.push(new);
        self.slow.sort_by_key(|kept| std::cmp::Reverse(kept.run.took_us));
        self.slow.truncate(MAX_RUNS_PER_LIST);
    }
}

/// The runs that are kept, by stage; a layer of the `tracing` subscriber.
#[derive(Clone, Debug, Default)]
pub struct StageRuns(Arc<Mutex<BTreeMap<&'static str, RunsOfStage>>>);

/// Data of a run whose span is still open.
struct OpenSpan {
    started: Instant,
    call: Option<u64>,
    failed: Option<String>,
}

impl Visit for OpenSpan {
    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "call" {
            self.call = Some(value);
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        if field.name() == "failed" {
            self.failed = Some(crate::log::sanitize(&format!("{value:?}")));
        }
    }
}

impl StageRuns {
    /// The kept runs, stage by stage: the failed ones, newest first, then the slow ones, slowest first.
    pub fn list(&self) -> Vec<StageRun> {
        let stages = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = stages.values().flat_map(|stage| stage.failed.iter().rev().chain(&stage.slow));
        kept.map(|kept| kept.run.clone()).collect()
    }

    fn keep(&self, kept: KeptRun) {
        let mut stages = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let stage = stages.entry(kept.run.stage).or_default();
        if kept.run.failed.is_some() {
            stage.keep_failed(kept);
        } else {
            stage.keep_slow(kept);
        }
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>> Layer<S> for StageRuns {
    fn on_new_span(&self, attributes: &Attributes<'_>, id: &Id, context: Context<'_, S>) {
        let Some(span) = context.span(id).filter(|span| span.metadata().target() == SPAN_TARGET) else {
            return;
        };
        let mut open = OpenSpan { started: Instant::now(), call: None, failed: None };
        attributes.record(&mut open);
        span.extensions_mut().insert(open);
    }

    fn on_record(&self, id: &Id, values: &Record<'_>, context: Context<'_, S>) {
        let Some(span) = context.span(id) else { return };
        if let Some(open) = span.extensions_mut().get_mut::<OpenSpan>() {
            values.record(open);
        };
    }

    fn on_close(&self, id: Id, context: Context<'_, S>) {
        let Some(span) = context.span(&id) else { return };
        let Some(open) = span.extensions_mut().remove::<OpenSpan>() else { return };
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let run = StageRun {
            stage: span.metadata().name(),
            call: open.call,
            took_us: open.started.elapsed().as_micros() as u64,
            ended_at_s: unix.as_secs_f64(),
            failed: open.failed,
        };
        self.keep(KeptRun { ended: Instant::now(), run });
    }
}

/// Creates the span of a stage: `stage!("route", call = 7)`. The cost is negligible if no layer observes
/// spans.
#[macro_export]
macro_rules! stage {
    ($name:literal $(, $field:ident = $value:expr)*) => {
        tracing::span!(
            target: $crate::stage_runs::SPAN_TARGET,
            tracing::Level::DEBUG,
            $name $(, $field = $value)*
        )
    };
}

/// Whether [`StageRuns`] observes spans with this metadata.
pub fn is_stage(metadata: &tracing::Metadata<'_>) -> bool {
    metadata.is_span() && metadata.target() == SPAN_TARGET && *metadata.level() <= Level::DEBUG
}

#[cfg(test)]
mod tests;
