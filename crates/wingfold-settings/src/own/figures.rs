//! The `figures` block, and all that figures go to and come from.

use super::collectd::{read_collectd, read_collectd_in, Collectd, CollectdIn};
use super::graphite::{read_graphite, Graphite};
use super::secret::ReadSecret;
use crate::hcl::Block;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// All receivers: what a reload may change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sinks {
    /// The `graphite` blocks.
    pub graphite: Vec<Graphite>,
    /// The `collectd` blocks.
    pub collectd: Vec<Collectd>,
}

/// The `figures` block, and all that figures go to.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    /// Length of an interval.
    pub interval: Duration,
    /// The slowest and the failed of each stage are kept.
    pub causes: bool,
    /// Receivers.
    pub sinks: Sinks,
    /// Loads taken in.
    pub intake: Option<CollectdIn>,
}

impl Sinks {
    /// Bytes of memory that their queues may take.
    pub(super) fn memory(&self) -> usize {
        let graphite = self.graphite.iter().map(|sink| sink.rules.max_queued_bytes * sink.addresses.len());
        let collectd = self.collectd.iter().map(|sink| sink.rules.max_queued_bytes);
        graphite.chain(collectd).sum()
    }
}

impl Figures {
    /// Descriptors: a connection to each receiver, and the one after it while that is made.
    pub(super) fn descriptors(&self) -> usize {
        let graphite: usize = self.sinks.graphite.iter().map(|sink| sink.addresses.len()).sum();
        2 * graphite + self.sinks.collectd.len() + usize::from(self.intake.is_some())
    }
}

/// Reads the block and those of receivers; `None`: figures are off.
pub(super) fn figures(top: &Block, read_secret: &ReadSecret) -> Option<Figures> {
    let block = top.block("figures");
    let block = block.as_ref();
    let enabled = block.is_some_and(|block| block.flag("enabled") == Some(true));
    let interval = interval(top, block);
    let causes = block.and_then(|block| block.flag("causes")).unwrap_or(false);
    let prefix = prefix(block);
    let graphite = top.blocks("graphite");
    let graphite = graphite.iter().map(|block| read_graphite(block, &prefix, interval)).collect();
    let collectd = top.blocks("collectd");
    let collectd = collectd.iter().map(|block| read_collectd(block, interval, read_secret)).collect();
    let sinks = Sinks { graphite, collectd };
    let intake = top.block("collectd_in").and_then(|block| read_collectd_in(&block, read_secret));
    check_names(top, &sinks);
    enabled.then_some(Figures { interval, causes, sinks, intake })
}

fn interval(top: &Block, block: Option<&Block>) -> Duration {
    let interval =
        block.and_then(|block| block.time("interval", SECOND..=60 * SECOND)).unwrap_or(10 * SECOND);
    if interval.subsec_nanos() != 0 {
        top.wrong("`figures.interval` is of whole seconds: receivers take no finer time");
    }
    interval
}

fn prefix(block: Option<&Block>) -> String {
    let prefix = block.and_then(|block| block.text("prefix")).unwrap_or_else(|| "wingfold".into());
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let empty_label = !prefix.is_empty() && prefix.split('.').any(str::is_empty);
    if let Some(block) = block.filter(|_| !prefix.chars().all(allowed) || empty_label) {
        block.wrong_at("prefix", None, "letters, digits, `-`, `_` and single dots between them are expected");
    }
    prefix
}

/// No two receivers may have one name.
fn check_names(top: &Block, sinks: &Sinks) {
    let graphite = sinks.graphite.iter().map(|sink| &sink.name);
    let names: Vec<&String> = graphite.chain(sinks.collectd.iter().map(|sink| &sink.name)).collect();
    let twice = |name: &&&String| names.iter().filter(|other| other == name).count() > 1;
    if let Some(name) = names.iter().skip(1).find(twice) {
        top.wrong(format!("two receivers are called `{name}`: figures tell them apart by that"));
    }
}
