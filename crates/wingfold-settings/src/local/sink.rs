//! Queue, times and pauses of a receiver of figures.

use crate::hcl::Block;
use std::ops::RangeInclusive;
use std::time::Duration;
use wingfold_director::interface::Micros;
use wingfold_metrics::SinkLimits;

/// Times that a receiver's block may name.
const TIMES: RangeInclusive<Duration> = Duration::from_millis(100)..=Duration::from_secs(3600);

/// Reads what all receivers have in common.
pub(super) fn read_limits(block: &Block, interval: Duration) -> SinkLimits {
    let time = |name, default: Duration| {
        let time = block.duration(name, TIMES).unwrap_or(default);
        Micros(time.as_micros() as u64)
    };
    let default = SinkLimits::default();
    SinkLimits {
        max_queued_bytes: (block.integer("queue_kb", 16..=1 << 20).unwrap_or(1024) << 10) as usize,
        connect_timeout: time("connect_timeout", Duration::from_secs(2)),
        // What one interval takes longer than to be made piles up.
        write_timeout: time("write_timeout", interval),
        initial_backoff: time("retry_first", Duration::from_micros(default.initial_backoff.0)),
        max_backoff: time("retry_longest", Duration::from_micros(default.max_backoff.0)),
    }
}
