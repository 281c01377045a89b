//! The `figures` block, together with the blocks of the sinks and of the load receiver.

use super::collectd::{read_collectd, read_load_receiver, CollectdSettings, LoadReceiverSettings};
use super::graphite::{read_graphite, GraphiteSettings};
use super::secret::SecretReader;
use crate::hcl::Block;
use std::ops::RangeInclusive;
use std::time::Duration;

const DEFAULT_INTERVAL: Duration = Duration::from_secs(10);
const INTERVAL_RANGE: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(60);
const DEFAULT_PREFIX: &str = "wingfold";

/// The sinks of metrics. A reload replaces them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SinkSettings {
    /// The `graphite` blocks.
    pub graphite: Vec<GraphiteSettings>,
    /// The `collectd` blocks.
    pub collectd: Vec<CollectdSettings>,
}

/// The `figures` block, with the sinks and the load receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricsSettings {
    /// The length of an interval, in whole seconds.
    pub interval: Duration,
    /// Whether the slowest and the failed operations of each stage are kept.
    pub keep_causes: bool,
    /// Where metrics are sent.
    pub sinks: SinkSettings,
    /// The receiver of collectd packets that hold loads of hosts; `None` if it is off.
    pub load_receiver: Option<LoadReceiverSettings>,
}

impl SinkSettings {
    /// Bytes of memory that the queues of all sinks may take.
    pub(super) fn memory_bytes(&self) -> usize {
        let graphite = self.graphite.iter().map(|sink| sink.limits.max_queued_bytes * sink.addresses.len());
        let collectd = self.collectd.iter().map(|sink| sink.limits.max_queued_bytes);
        graphite.chain(collectd).sum()
    }
}

impl MetricsSettings {
    /// The number of file descriptors: for each Graphite address the open connection and the one that
    /// replaces it, and a socket for each collectd sink and for the load receiver.
    pub(super) fn file_descriptors(&self) -> usize {
        let graphite: usize = self.sinks.graphite.iter().map(|sink| sink.addresses.len()).sum();
        2 * graphite + self.sinks.collectd.len() + usize::from(self.load_receiver.is_some())
    }
}

/// Reads the `figures` block, the sinks and the load receiver; `None` if metrics are off.
pub(super) fn read_metrics(top: &Block, read_secret: &SecretReader) -> Option<MetricsSettings> {
    let block = top.block("figures");
    let block = block.as_ref();
    let enabled = block.is_some_and(|block| block.boolean("enabled") == Some(true));
    let interval = read_interval(top, block);
    let keep_causes = block.and_then(|block| block.boolean("causes")).unwrap_or(false);
    let prefix = read_prefix(block);
    let graphite_blocks = top.blocks("graphite");
    let graphite = graphite_blocks.iter().map(|block| read_graphite(block, &prefix, interval)).collect();
    let collectd_blocks = top.blocks("collectd");
    let collectd = collectd_blocks.iter().map(|block| read_collectd(block, interval, read_secret)).collect();
    let sinks = SinkSettings { graphite, collectd };
    let load_receiver = top.block("collectd_in").and_then(|block| read_load_receiver(&block, read_secret));
    check_unique_names(top, &sinks);
    enabled.then_some(MetricsSettings { interval, keep_causes, sinks, load_receiver })
}

fn read_interval(top: &Block, block: Option<&Block>) -> Duration {
    let interval =
        block.and_then(|block| block.duration("interval", INTERVAL_RANGE)).unwrap_or(DEFAULT_INTERVAL);
    if interval.subsec_nanos() != 0 {
        top.report("`figures.interval` must be whole seconds: receivers store no finer timestamps");
    }
    interval
}

fn read_prefix(block: Option<&Block>) -> String {
    let prefix = block.and_then(|block| block.string("prefix")).unwrap_or_else(|| DEFAULT_PREFIX.into());
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let has_empty_part = !prefix.is_empty() && prefix.split('.').any(str::is_empty);
    if let Some(block) = block.filter(|_| !prefix.chars().all(is_allowed) || has_empty_part) {
        block.report_key(
            "prefix",
            None,
            "must consist of letters, digits, `-` and `_`, in parts separated by single dots",
        );
    }
    prefix
}

/// Reports two sinks of the same name.
fn check_unique_names(top: &Block, sinks: &SinkSettings) {
    let graphite = sinks.graphite.iter().map(|sink| &sink.name);
    let names: Vec<&String> = graphite.chain(sinks.collectd.iter().map(|sink| &sink.name)).collect();
    let is_duplicate = |name: &&&String| names.iter().filter(|other| other == name).count() > 1;
    if let Some(name) = names.iter().skip(1).find(is_duplicate) {
        top.report(format!("two sinks have the name `{name}`: metrics about sinks would be ambiguous"));
    }
}
