//! The `graphite` blocks: receivers of figures.

use super::address::check_address;
use super::receiver::rules;
use crate::hcl::Block;
use std::ops::RangeInclusive;
use std::time::Duration;
use wingfold_metrics::SinkLimits;

const SETTLE_TIMES: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(3600);

/// How Graphite takes figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// Lines over TCP.
    Plain,
    /// Pickled lists over TCP.
    Pickle,
    /// Lines over UDP.
    Udp,
}

/// Who of several receivers gets what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deal {
    /// All of them everything.
    All,
    /// Each name one of them, by consistent hashing.
    Hash,
}

/// A `graphite` block.
#[derive(Clone, Debug, PartialEq)]
pub struct Graphite {
    /// Its name.
    pub name: String,
    /// Receivers, `host:port` each.
    pub addresses: Vec<String>,
    /// How they take figures.
    pub protocol: Protocol,
    /// Who gets what.
    pub deal: Deal,
    /// Labels as tags.
    pub tags: bool,
    /// What every path begins with.
    pub prefix: String,
    /// Queue, times and pauses.
    pub rules: SinkLimits,
    /// A receiver that was lost gets its names back after it was well for so long.
    pub settle: Duration,
}

/// Reads a block; every path begins with `prefix`.
pub(super) fn read_graphite(block: &Block, prefix: &str, interval: Duration) -> Graphite {
    let addresses = addresses(block);
    let protocol = match block.word("protocol", &["plain", "pickle", "udp"]) {
        Some("pickle") => Protocol::Pickle,
        Some("udp") => Protocol::Udp,
        _ => Protocol::Plain,
    };
    let deal = match block.word("deal", &["all", "hash"]) {
        Some("hash") => Deal::Hash,
        _ => Deal::All,
    };
    Graphite {
        name: block.label.clone().unwrap_or_else(|| "graphite".into()),
        addresses,
        protocol,
        deal,
        tags: block.flag("tags").unwrap_or(false),
        prefix: prefix.into(),
        rules: rules(block, interval),
        settle: block.time("settle", SETTLE_TIMES).unwrap_or(Duration::from_secs(60)),
    }
}

fn addresses(block: &Block) -> Vec<String> {
    let addresses = block.need("addresses", block.texts("addresses"), Vec::new());
    if addresses.is_empty() {
        block.wrong_at("addresses", None, "names at least one receiver");
    }
    for address in &addresses {
        check_address(block, "addresses", address);
    }
    if (1..addresses.len()).any(|at| addresses[..at].contains(&addresses[at])) {
        block.wrong_at("addresses", None, "names a receiver twice");
    }
    addresses
}
