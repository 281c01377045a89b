//! Queue, times and pauses of a receiver of figures.

use crate::hcl::Block;
use std::ops::RangeInclusive;
use std::time::Duration;
use wingfold_director::interface::Micros;
use wingfold_metrics::receiver::Rules;

/// Times that a receiver's block may name.
const TIMES: RangeInclusive<Duration> = Duration::from_millis(100)..=Duration::from_secs(3600);

/// Reads what all receivers have in common.
pub(super) fn rules(block: &Block, interval: Duration) -> Rules {
    let time = |name, default: Duration| {
        let time = block.time(name, TIMES).unwrap_or(default);
        Micros(time.as_micros() as u64)
    };
    let default = Rules::default();
    Rules {
        most: (block.whole("queue_kb", 16..=1 << 20).unwrap_or(1024) << 10) as usize,
        connect: time("connect_timeout", Duration::from_secs(2)),
        // What one interval takes longer than to be made piles up.
        write: time("write_timeout", interval),
        pause: time("retry_first", Duration::from_micros(default.pause.0)),
        longest: time("retry_longest", Duration::from_micros(default.longest.0)),
    }
}
