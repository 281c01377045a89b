//! The `graphite` blocks: receivers of figures.

use super::address::check_address;
use super::sink::read_limits;
use crate::hcl::Block;
use std::ops::RangeInclusive;
use std::time::Duration;
use wingfold_metrics::SinkLimits;

const SETTLE_TIMES: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(3600);

/// How Graphite takes figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GraphiteProtocol {
    /// Lines over TCP.
    Plain,
    /// Pickled lists over TCP.
    Pickle,
    /// Lines over UDP.
    Udp,
}

/// Who of several receivers gets what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SinkAssignment {
    /// All of them everything.
    Replicate,
    /// Each name one of them, by consistent hashing.
    ConsistentHash,
}

/// A `graphite` block.
#[derive(Clone, Debug, PartialEq)]
pub struct GraphiteSettings {
    /// Its name.
    pub name: String,
    /// Receivers, `host:port` each.
    pub addresses: Vec<String>,
    /// How they take figures.
    pub protocol: GraphiteProtocol,
    /// Who gets what.
    pub assignment: SinkAssignment,
    /// Labels as tags.
    pub tags: bool,
    /// What every path begins with.
    pub prefix: String,
    /// Queue, times and pauses.
    pub limits: SinkLimits,
    /// A receiver that was lost gets its names back after it was well for so long.
    pub settle_time: Duration,
}

/// Reads a block; every path begins with `prefix`.
pub(super) fn read_graphite(block: &Block, prefix: &str, interval: Duration) -> GraphiteSettings {
    let addresses = addresses(block);
    let protocol = match block.keyword("protocol", &["plain", "pickle", "udp"]) {
        Some("pickle") => GraphiteProtocol::Pickle,
        Some("udp") => GraphiteProtocol::Udp,
        _ => GraphiteProtocol::Plain,
    };
    let deal = match block.keyword("deal", &["all", "hash"]) {
        Some("hash") => SinkAssignment::ConsistentHash,
        _ => SinkAssignment::Replicate,
    };
    GraphiteSettings {
        name: block.label.clone().unwrap_or_else(|| "graphite".into()),
        addresses,
        protocol,
        assignment: deal,
        tags: block.boolean("tags").unwrap_or(false),
        prefix: prefix.into(),
        limits: read_limits(block, interval),
        settle_time: block.duration("settle", SETTLE_TIMES).unwrap_or(Duration::from_secs(60)),
    }
}

fn addresses(block: &Block) -> Vec<String> {
    let addresses = block.require("addresses", block.strings("addresses"), Vec::new());
    if addresses.is_empty() {
        block.report_key("addresses", None, "names at least one receiver");
    }
    for address in &addresses {
        check_address(block, "addresses", address);
    }
    if (1..addresses.len()).any(|at| addresses[..at].contains(&addresses[at])) {
        block.report_key("addresses", None, "names a receiver twice");
    }
    addresses
}
