//! The `graphite` blocks, which define sinks of metrics.

use super::address::check_address;
use super::sink::read_limits;
use crate::hcl::Block;
use std::ops::RangeInclusive;
use std::time::Duration;
use wingfold_metrics::SinkLimits;

const SETTLE_TIME_RANGE: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(3600);
const DEFAULT_SETTLE_TIME: Duration = Duration::from_secs(60);

/// The protocol in which a sink receives metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GraphiteProtocol {
    /// Lines over TCP.
    Plain,
    /// Pickled lists over TCP.
    Pickle,
    /// Lines over UDP.
    Udp,
}

/// Which of a sink's addresses receive a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SinkAssignment {
    /// Every address.
    Replicate,
    /// One address, by consistent hashing of the metric's name.
    ConsistentHash,
}

/// A `graphite` block.
#[derive(Clone, Debug, PartialEq)]
pub struct GraphiteSettings {
    /// The name of the sink.
    pub name: String,
    /// Addresses of the receivers, as `host:port`.
    pub addresses: Vec<String>,
    /// The protocol of all addresses.
    pub protocol: GraphiteProtocol,
    /// Which addresses receive a metric.
    pub assignment: SinkAssignment,
    /// Whether labels are written as tags.
    pub tags: bool,
    /// The beginning of every metric's path: parts separated by dots.
    pub prefix: String,
    /// Queue limit, timeouts and backoff of each address.
    pub limits: SinkLimits,
    /// How long a receiver that failed must be healthy before metrics are assigned to it again.
    pub settle_time: Duration,
}

/// Reads a `graphite` block; every metric's path begins with `prefix`.
pub(super) fn read_graphite(block: &Block, prefix: &str, interval: Duration) -> GraphiteSettings {
    let addresses = read_addresses(block);
    let protocol = match block.keyword("protocol", &["plain", "pickle", "udp"]) {
        Some("pickle") => GraphiteProtocol::Pickle,
        Some("udp") => GraphiteProtocol::Udp,
        _ => GraphiteProtocol::Plain,
    };
    let assignment = match block.keyword("deal", &["all", "hash"]) {
        Some("hash") => SinkAssignment::ConsistentHash,
        _ => SinkAssignment::Replicate,
    };
    GraphiteSettings {
        name: block.label.clone().unwrap_or_else(|| "graphite".into()),
        addresses,
        protocol,
        assignment,
        tags: block.boolean("tags").unwrap_or(false),
        prefix: prefix.into(),
        limits: read_limits(block, interval),
        settle_time: block.duration("settle", SETTLE_TIME_RANGE).unwrap_or(DEFAULT_SETTLE_TIME),
    }
}

fn read_addresses(block: &Block) -> Vec<String> {
    let addresses = block.require("addresses", block.strings("addresses"), Vec::new());
    if addresses.is_empty() {
        block.report_key("addresses", None, "needs at least one address");
    }
    for address in &addresses {
        check_address(block, "addresses", address);
    }
    if (1..addresses.len()).any(|at| addresses[..at].contains(&addresses[at])) {
        block.report_key("addresses", None, "has the same address twice");
    }
    addresses
}
