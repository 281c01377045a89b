//! The keys that all blocks of sinks share: queue size, timeouts and backoff.

use crate::hcl::Block;
use std::ops::RangeInclusive;
use std::time::Duration;
use wingfold_director::interface::Micros;
use wingfold_metrics::SinkLimits;

/// The valid range of a sink's timeouts and backoffs.
const TIME_RANGE: RangeInclusive<Duration> = Duration::from_millis(100)..=Duration::from_secs(3600);

const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The valid range of a sink's queue size.
const QUEUE_KB_RANGE: RangeInclusive<u64> = 16..=1 << 20;
const DEFAULT_QUEUE_KB: u64 = 1024;

/// Reads the keys that all blocks of sinks share; `interval` is the default of the write timeout.
pub(super) fn read_limits(block: &Block, interval: Duration) -> SinkLimits {
    let time = |name, default: Duration| {
        let time = block.duration(name, TIME_RANGE).unwrap_or(default);
        Micros(time.as_micros() as u64)
    };
    let default = SinkLimits::default();
    SinkLimits {
        max_queued_bytes: (block.integer("queue_kb", QUEUE_KB_RANGE).unwrap_or(DEFAULT_QUEUE_KB) << 10)
            as usize,
        connect_timeout: time("connect_timeout", DEFAULT_CONNECT_TIMEOUT),
        // If writing an interval took longer than the interval lasts, intervals would accumulate in the
        // queue.
        write_timeout: time("write_timeout", interval),
        initial_backoff: time("retry_first", Duration::from_micros(default.initial_backoff.0)),
        max_backoff: time("retry_longest", Duration::from_micros(default.max_backoff.0)),
    }
}
