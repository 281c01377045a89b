//! The queue and the connection of one sink, as a state machine without I/O. The queue holds complete
//! intervals up to a limit in bytes; beyond it, the oldest intervals are dropped first. If a connection ends
//! while an interval is being written, the interval is written again from its beginning.

#[cfg(test)]
mod tests;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::sync::Arc;
use wingfold_director::interface::{Micros, Timestamp};

/// The queue limit, the timeouts and the backoff of a sink.
#[derive(Clone, Debug, PartialEq)]
pub struct SinkLimits {
    /// The largest number of bytes in the queue.
    pub max_queued_bytes: usize,
    /// The time limit for connecting, including the lookup of the sink's host name.
    pub connect_timeout: Micros,
    /// The time limit for writing one interval.
    pub write_timeout: Micros,
    /// The backoff after the first failure. It doubles with each consecutive failure. A quarter of it is
    /// jitter.
    pub initial_backoff: Micros,
    /// The longest backoff.
    pub max_backoff: Micros,
}

impl Default for SinkLimits {
    fn default() -> Self {
        SinkLimits {
            max_queued_bytes: 1 << 20,
            connect_timeout: Micros(2_000_000),
            write_timeout: Micros(10_000_000),
            initial_backoff: Micros(1_000_000),
            max_backoff: Micros(60_000_000),
        }
    }
}

/// The largest number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// Why an interval did not reach a sink.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// The queue was full, and the interval was the oldest.
    QueueFull,
    /// The interval is larger than the queue limit.
    TooLarge,
    /// The sink was removed from the settings.
    SinkRemoved,
}

impl DropReason {
    const COUNT: usize = 3;

    /// The label of the reason in metrics.
    pub fn label(self) -> &'static str {
        match self {
            DropReason::QueueFull => "full",
            DropReason::TooLarge => "large",
            DropReason::SinkRemoved => "gone",
        }
    }
}

/// An event that the caller reports to a sink.
#[derive(Clone, Debug, PartialEq)]
pub enum SinkEvent {
    /// An interval has ended and was encoded as these bytes.
    Interval(Arc<[u8]>),
    /// The requested connection is established.
    Connected,
    /// The connection could not be established, or has ended.
    Disconnected,
    /// This many further bytes of the interval have been written.
    Written(usize),
    /// Time has passed, perhaps a deadline.
    Tick,
}

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum SinkAction {
    /// Establish a connection.
    Connect,
    /// Write an interval.
    Write {
        /// All bytes of the interval.
        bytes: Arc<[u8]>,
        /// The number of bytes to skip at the beginning.
        offset: usize,
    },
    /// Close the connection, or stop connecting.
    Disconnect,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionState {
    Disconnected,
    Connecting {
        since: Timestamp,
    },
    /// Connected, with nothing to write.
    Idle,
    Writing {
        since: Timestamp,
    },
    BackingOff {
        until: Timestamp,
    },
}

impl ConnectionState {
    fn is_connected(self) -> bool {
        matches!(self, ConnectionState::Idle | ConnectionState::Writing { .. })
    }

    fn is_writing(self) -> bool {
        matches!(self, ConnectionState::Writing { .. })
    }
}

/// Counters of a sink.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeliveryCounts {
    dropped: [u64; DropReason::COUNT],
    /// Bytes written.
    pub written_bytes: u64,
    /// Intervals written completely.
    pub intervals: u64,
    /// Connections that could not be established, ended or timed out.
    pub failed_connections: u64,
}

impl DeliveryCounts {
    /// Intervals dropped for a reason.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped[reason as usize]
    }

    fn add_dropped(&mut self, reason: DropReason, intervals: u64) {
        self.dropped[reason as usize] += intervals;
    }
}

/// The state of one sink.
#[derive(Debug)]
pub struct Sink {
    limits: SinkLimits,
    state: ConnectionState,
    /// Rendered intervals, the oldest first.
    queue: VecDeque<Arc<[u8]>>,
    queued_bytes: usize,
    /// The number of bytes of the oldest interval that were written on this connection.
    written_bytes: usize,
    consecutive_failures: u32,
    jitter: ChaCha8Rng,
    /// Counters since the sink was created.
    pub counts: DeliveryCounts,
    /// When the first complete interval after the last failure was written.
    healthy_since: Option<Timestamp>,
}

impl Sink {
    /// A sink without a connection. `seed` determines the jitter of its backoff.
    pub fn new(limits: SinkLimits, seed: u64) -> Self {
        Sink {
            limits,
            state: ConnectionState::Disconnected,
            queue: VecDeque::new(),
            queued_bytes: 0,
            written_bytes: 0,
            consecutive_failures: 0,
            jitter: ChaCha8Rng::seed_from_u64(seed),
            counts: DeliveryCounts::default(),
            healthy_since: None,
        }
    }

    /// Bytes in the queue, including all bytes of a partly written interval.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Since when intervals have been written without a failure; `None` if no interval was written since the
    /// last failure.
    pub fn healthy_since(&self) -> Option<Timestamp> {
        self.healthy_since
    }

    /// Whether the sink has failed and not recovered, so that its metric names should be assigned to other
    /// sinks.
    pub fn is_down(&self) -> bool {
        match self.consecutive_failures {
            0 => false,
            1 => !self.state.is_connected(),
            _ => true,
        }
    }

    /// When the next [`SinkEvent::Tick`] is due; `None` if no timeout or backoff is running.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let after = |since: Timestamp, timeout: Micros| Timestamp(since.0.saturating_add(timeout.0));
        match self.state {
            ConnectionState::Connecting { since } => Some(after(since, self.limits.connect_timeout)),
            ConnectionState::Writing { since } => Some(after(since, self.limits.write_timeout)),
            ConnectionState::BackingOff { until } if !self.queue.is_empty() => Some(until),
            _ => None,
        }
    }

    /// Handles an event, and adds the resulting actions to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: SinkEvent, actions: &mut Vec<SinkAction>) {
        match event {
            SinkEvent::Interval(bytes) => self.enqueue(bytes),
            SinkEvent::Connected => self.record_connected(),
            SinkEvent::Disconnected => self.record_failure(now),
            SinkEvent::Written(bytes) => self.record_written(now, bytes),
            SinkEvent::Tick => {}
        }
        self.check_deadline(now, actions);
        self.start_work(now, actions);
    }

    fn enqueue(&mut self, bytes: Arc<[u8]>) {
        if bytes.is_empty() {
            return;
        }
        if bytes.len() > self.limits.max_queued_bytes {
            self.counts.add_dropped(DropReason::TooLarge, 1);
            return;
        }
        self.queued_bytes += bytes.len();
        self.queue.push_back(bytes);
        while self.queued_bytes > self.limits.max_queued_bytes {
            self.drop_oldest();
        }
    }

    /// Drops the oldest interval that is not being written.
    fn drop_oldest(&mut self) {
        let index = usize::from(self.state.is_writing());
        if let Some(oldest) = self.queue.remove(index) {
            self.queued_bytes -= oldest.len();
            self.counts.add_dropped(DropReason::QueueFull, 1);
        }
    }

    /// Records that the connection was established. A connection that is established after its timeout is not
    /// used.
    fn record_connected(&mut self) {
        if let ConnectionState::Connecting { .. } = self.state {
            self.state = ConnectionState::Idle;
            self.written_bytes = 0;
        }
    }

    fn record_written(&mut self, now: Timestamp, bytes: usize) {
        if !self.state.is_writing() {
            return;
        }
        self.counts.written_bytes += bytes as u64;
        self.written_bytes += bytes;
        let is_complete = self.queue.front().is_some_and(|oldest| self.written_bytes >= oldest.len());
        if is_complete {
            self.finish_interval(now);
        }
    }

    fn finish_interval(&mut self, now: Timestamp) {
        if let Some(oldest) = self.queue.pop_front() {
            self.queued_bytes -= oldest.len();
        }
        self.written_bytes = 0;
        self.state = ConnectionState::Idle;
        self.consecutive_failures = 0;
        self.counts.intervals += 1;
        self.healthy_since.get_or_insert(now);
    }

    fn record_failure(&mut self, now: Timestamp) {
        let backoff = self.next_backoff();
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.counts.failed_connections += 1;
        self.written_bytes = 0;
        self.healthy_since = None;
        self.state = ConnectionState::BackingOff { until: Timestamp(now.0.saturating_add(backoff.0)) };
    }

    /// The exponential backoff. Three quarters are fixed, the last quarter is random, so that directors do
    /// not reconnect at the same time.
    fn next_backoff(&mut self) -> Micros {
        let factor = 1 << self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let full = self.limits.initial_backoff.0.saturating_mul(factor).min(self.limits.max_backoff.0);
        let jitter = (self.jitter.random::<f64>() * full as f64 / 4.0) as u64;
        Micros(full * 3 / 4 + jitter)
    }

    /// Closes a connection whose timeout has passed, and ends a backoff that has passed.
    fn check_deadline(&mut self, now: Timestamp, actions: &mut Vec<SinkAction>) {
        let has_passed = |since: Timestamp, timeout: Micros| now.0.saturating_sub(since.0) >= timeout.0;
        let has_timed_out = match self.state {
            ConnectionState::Connecting { since } => has_passed(since, self.limits.connect_timeout),
            ConnectionState::Writing { since } => has_passed(since, self.limits.write_timeout),
            _ => false,
        };
        if has_timed_out {
            actions.push(SinkAction::Disconnect);
            self.record_failure(now);
            return;
        }
        if let ConnectionState::BackingOff { until } = self.state {
            if now >= until {
                self.state = ConnectionState::Disconnected;
            }
        }
    }

    /// Connects or writes if an interval is queued and nothing else is in progress.
    fn start_work(&mut self, now: Timestamp, actions: &mut Vec<SinkAction>) {
        let Some(oldest) = self.queue.front() else { return };
        match self.state {
            ConnectionState::Disconnected => {
                self.state = ConnectionState::Connecting { since: now };
                actions.push(SinkAction::Connect);
            }
            ConnectionState::Idle => {
                actions.push(SinkAction::Write { bytes: oldest.clone(), offset: 0 });
                self.state = ConnectionState::Writing { since: now };
            }
            _ => {}
        }
    }

    /// Drops all queued intervals, when the sink is removed from the settings.
    pub fn shut_down(&mut self) {
        self.counts.add_dropped(DropReason::SinkRemoved, self.queue.len() as u64);
        self.queue.clear();
        self.queued_bytes = 0;
        self.state = ConnectionState::Disconnected;
    }
}
