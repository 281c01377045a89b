//! The `figures` block, and all that figures go to and come from.

use super::collectd::{read_collectd, read_collectd_in, CollectdSettings, LoadReceiverSettings};
use super::graphite::{read_graphite, GraphiteSettings};
use super::secret::SecretReader;
use crate::hcl::Block;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// All receivers: what a reload may change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SinkSettings {
    /// The `graphite` blocks.
    pub graphite: Vec<GraphiteSettings>,
    /// The `collectd` blocks.
    pub collectd: Vec<CollectdSettings>,
}

/// The `figures` block, and all that figures go to.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricsSettings {
    /// Length of an interval.
    pub interval: Duration,
    /// The slowest and the failed of each stage are kept.
    pub keep_causes: bool,
    /// Receivers.
    pub sinks: SinkSettings,
    /// Loads taken in.
    pub load_receiver: Option<LoadReceiverSettings>,
}

impl SinkSettings {
    /// Bytes of memory that their queues may take.
    pub(super) fn memory_bytes(&self) -> usize {
        let graphite = self.graphite.iter().map(|sink| sink.limits.max_queued_bytes * sink.addresses.len());
        let collectd = self.collectd.iter().map(|sink| sink.limits.max_queued_bytes);
        graphite.chain(collectd).sum()
    }
}

impl MetricsSettings {
    /// Descriptors: a connection to each receiver, and the one after it while that is made.
    pub(super) fn file_descriptors(&self) -> usize {
        let graphite: usize = self.sinks.graphite.iter().map(|sink| sink.addresses.len()).sum();
        2 * graphite + self.sinks.collectd.len() + usize::from(self.load_receiver.is_some())
    }
}

/// Reads the block and those of receivers; `None`: figures are off.
pub(super) fn read_metrics(top: &Block, read_secret: &SecretReader) -> Option<MetricsSettings> {
    let block = top.block("figures");
    let block = block.as_ref();
    let enabled = block.is_some_and(|block| block.boolean("enabled") == Some(true));
    let interval = interval(top, block);
    let causes = block.and_then(|block| block.boolean("causes")).unwrap_or(false);
    let prefix = prefix(block);
    let graphite = top.blocks("graphite");
    let graphite = graphite.iter().map(|block| read_graphite(block, &prefix, interval)).collect();
    let collectd = top.blocks("collectd");
    let collectd = collectd.iter().map(|block| read_collectd(block, interval, read_secret)).collect();
    let sinks = SinkSettings { graphite, collectd };
    let intake = top.block("collectd_in").and_then(|block| read_collectd_in(&block, read_secret));
    check_unique_names(top, &sinks);
    enabled.then_some(MetricsSettings { interval, keep_causes: causes, sinks, load_receiver: intake })
}

fn interval(top: &Block, block: Option<&Block>) -> Duration {
    let interval =
        block.and_then(|block| block.duration("interval", SECOND..=60 * SECOND)).unwrap_or(10 * SECOND);
    if interval.subsec_nanos() != 0 {
        top.report("`figures.interval` is of whole seconds: receivers take no finer time");
    }
    interval
}

fn prefix(block: Option<&Block>) -> String {
    let prefix = block.and_then(|block| block.string("prefix")).unwrap_or_else(|| "wingfold".into());
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let empty_label = !prefix.is_empty() && prefix.split('.').any(str::is_empty);
    if let Some(block) = block.filter(|_| !prefix.chars().all(allowed) || empty_label) {
        block.report_key(
            "prefix",
            None,
            "letters, digits, `-`, `_` and single dots between them are expected",
        );
    }
    prefix
}

/// No two receivers may have one name.
fn check_unique_names(top: &Block, sinks: &SinkSettings) {
    let graphite = sinks.graphite.iter().map(|sink| &sink.name);
    let names: Vec<&String> = graphite.chain(sinks.collectd.iter().map(|sink| &sink.name)).collect();
    let twice = |name: &&&String| names.iter().filter(|other| other == name).count() > 1;
    if let Some(name) = names.iter().skip(1).find(twice) {
        top.report(format!("two receivers are called `{name}`: figures tell them apart by that"));
    }
}
