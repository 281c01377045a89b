//! Limits of a sink.

use crate::hcl::Block;
use std::ops::RangeInclusive;
use std::time::Duration;
use wingfold_director::interface::Micros;
use wingfold_metrics::SinkLimits;

/// Timeouts and backoffs that a sink's block may have.
const TIMES: RangeInclusive<Duration> = Duration::from_millis(100)..=Duration::from_secs(3600);

const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Sizes of a sink's queue.
const QUEUES_KB: RangeInclusive<u64> = 16..=1 << 20;
const DEFAULT_QUEUE_KB: u64 = 1024;

/// Reads the keys that the blocks of all sinks have in common.
pub(super) fn read_limits(block: &Block, interval: Duration) -> SinkLimits {
    let time = |name, default: Duration| {
        let time = block.duration(name, TIMES).unwrap_or(default);
        Micros(time.as_micros() as u64)
    };
    let default = SinkLimits::default();
    SinkLimits {
        max_queued_bytes: (block.integer("queue_kb", QUEUES_KB).unwrap_or(DEFAULT_QUEUE_KB) << 10) as usize,
        connect_timeout: time("connect_timeout", DEFAULT_CONNECT_TIMEOUT),
        // Intervals that take longer than their length would pile up.
        write_timeout: time("write_timeout", interval),
        initial_backoff: time("retry_first", Duration::from_micros(default.initial_backoff.0)),
        max_backoff: time("retry_longest", Duration::from_micros(default.max_backoff.0)),
    }
}
