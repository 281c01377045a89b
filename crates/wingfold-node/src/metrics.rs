//! Counters and gauges for `/metrics`, and the macro that checks invariants.

use crate::message::InvalidReason;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// A counter or a gauge.
#[derive(Debug, Default)]
pub struct MetricValue(AtomicU64);

impl MetricValue {
    /// Adds one to a counter.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds to a counter.
    pub fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Sets a gauge.
    pub fn set(&self, value: u64) {
        self.0.store(value, Ordering::Relaxed);
    }

    /// Raises a gauge that holds a maximum to `value` if it is lower.
    pub fn raise_to(&self, value: u64) {
        self.0.fetch_max(value, Ordering::Relaxed);
    }

    /// The value now.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

macro_rules! metrics {
    ($($name:ident: $kind:literal, $help:literal;)*) => {
        /// The metrics of one director, shared by all of its tasks. Each field is exported under its name
        /// with the prefix `wingfold_`.
        #[derive(Debug, Default)]
        pub struct Metrics {
            $(#[doc = $help] pub $name: MetricValue,)*
        }

        impl Metrics {
            /// All values in the Prometheus text format.
            pub fn text(&self) -> String {
                let mut text = String::new();
                $(
                    let name = concat!("wingfold_", stringify!($name));
                    let value = self.$name.get();
                    let _ = writeln!(text, concat!("# HELP {} ", $help), name);
                    let _ = writeln!(text, concat!("# TYPE {} ", $kind, "\n{} {}"), name, name, value);
                )*
                text
            }
        }
    };
}

metrics! {
    connections_total: "counter", "Connections taken in.";
    connections_open: "gauge", "Connections open now.";
    connections_refused_total: "counter", "Connections closed at once because all places were taken.";
    unidentified_expired_total: "counter", "Connections that named no client in time.";
    unidentified_evicted_total: "counter", "Unnamed connections closed early to make room for newer ones.";
    clients_silent_total: "counter", "Named connections closed because nothing came for too long.";
    streams_joined: "gauge", "Proxies joined now.";
    streams_joined_total: "counter", "Streams that proxies opened.";
    streams_left_total: "counter", "Streams that ended.";
    streams_overtaken_total: "counter", "Streams whose joining was read after that of a stream which their proxy opened later.";
    streams_replaced_total: "counter", "Streams that a newer one of the same proxy replaced.";
    collectors_total: "counter", "Connections of collectors.";
    messages_in_total: "counter", "Messages read.";
    messages_bad_total: "counter", "Messages that ended their connection: unreadable, too long, or a unidentified's wrong ones.";
    messages_invalid_form_total: "counter", "Messages of clients dropped: a field absent or of another type, or an unknown kind.";
    messages_invalid_range_total: "counter", "Messages of clients dropped: a figure out of range.";
    messages_invalid_name_total: "counter", "Messages of clients dropped: they name what does not exist, or another client.";
    messages_invalid_turn_total: "counter", "Messages of clients dropped: not theirs to send, or not then.";
    messages_invalid_mark_total: "counter", "Messages of clients dropped: they answer no mark that is set.";
    reports_dropped_total: "counter", "Sums and usage dropped because the director lags behind.";
    messages_out_total: "counter", "Messages ordered, each for one proxy.";
    parts_out_total: "counter", "Parts those messages were sent in.";
    lines_out_total: "counter", "Lines ordered, without the heads of messages.";
    channel_lines: "gauge", "Lines that wait in the channel now, by its usual pace.";
    channel_lines_most: "gauge", "Most lines that have waited in the channel, by its usual pace.";
    readers_slow_total: "counter", "Streams ended because their proxy left too much unread.";
    list_calls_total: "counter", "Calls to discovery.";
    list_answers_total: "counter", "Good answers of discovery, those among them that told nothing new.";
    list_failures_total: "counter", "Calls to discovery that failed.";
    list_late_total: "counter", "Responses of discovery to overdue or abandoned calls that were taken.";
    list_moves_total: "counter", "Times that a new configuration named another address of discovery.";
    list_version: "gauge", "Version of the list held.";
    list_hosts: "gauge", "Hosts on the list held.";
    hosts_known: "gauge", "Hosts whose address is kept: those listed, and those gone that the module still knows.";
    list_entries_invalid_total: "counter", "Entries of lists that could not be read; only drains beside them are taken.";
    hosts_refused_total: "counter", "Entries of lists refused: the memory holds no more hosts.";
    probes_total: "counter", "Probes sent.";
    probes_failed_total: "counter", "Probes without a good answer.";
    probes_overtaken_total: "counter", "Answers of probes dropped: their host has been replaced meanwhile.";
    datagrams_in_total: "counter", "Datagrams of peers read.";
    datagrams_out_total: "counter", "Datagrams sent to peers.";
    datagrams_bad_total: "counter", "Datagrams dropped: too long, or of no known peer.";
    answers_total: "counter", "Calls of the decision module.";
    answer_us_total: "counter", "Time spent in the decision module and on its orders, in microseconds.";
    events_most: "gauge", "Most events taken into one call of the module.";
    timer_late_us_most: "gauge", "How late a timer has rung at most, in microseconds.";
    standstills_total: "counter", "Times that a timer rang a second late or more: the process was stopped, or got no processor time.";
    invariants_broken_total: "counter", "Times that something did not hold that must; see the log.";
    capture_calls_lost_total: "counter", "Calls that the capture did not record: its writer did not keep up.";
    capture_bytes_total: "counter", "Bytes that the capture has written.";
    capture_held_bytes: "gauge", "Bytes that a capture in memory holds.";
    capture_waiting_bytes: "gauge", "Bytes that wait for the capture's writer.";
    capture_failures_total: "counter", "Times that the capture's disk failed.";
    capture_dumps_total: "counter", "Times that a capture in memory was written out.";
    intervals_dropped_total: "counter", "Intervals of figures dropped because the sinks lagged behind.";
    collectd_in_total: "counter", "Packets of collectd taken in.";
    collectd_refused_form_total: "counter", "Packets of collectd refused: they cannot be read.";
    collectd_refused_open_total: "counter", "Packets of collectd refused: neither signed nor encrypted.";
    collectd_refused_user_total: "counter", "Packets of collectd refused: of an unknown user.";
    collectd_refused_key_total: "counter", "Packets of collectd refused: a wrong key, or changed.";
    collectd_refused_replayed_total: "counter", "Packets of collectd refused: old, ahead, or sent before.";
    collectd_refused_host_total: "counter", "Packets of collectd refused: they name no host that is mapped.";
    requests_http_total: "counter", "HTTP requests answered.";
}

/// Checks an invariant. If it does not hold, debug builds panic, and release builds count and log the
/// violation.
#[macro_export]
macro_rules! invariant {
    ($metrics:expr, $holds:expr, $($text:tt)+) => {{
        let holds = $holds;
        debug_assert!(holds, $($text)+);
        if !holds {
            $metrics.invariants_broken_total.increment();
            tracing::error!("invariant broken: {}", format_args!($($text)+));
        }
    }};
}

impl Metrics {
    /// Counts an invalid message that was dropped.
    pub fn count_invalid(&self, reason: InvalidReason) {
        self.invalid_counter(reason).increment();
    }

    /// The number of invalid messages dropped for a reason since the start.
    pub fn invalid_total(&self, reason: InvalidReason) -> u64 {
        self.invalid_counter(reason).get()
    }

    fn invalid_counter(&self, reason: InvalidReason) -> &MetricValue {
        match reason {
            InvalidReason::Form => &self.messages_invalid_form_total,
            InvalidReason::Range => &self.messages_invalid_range_total,
            InvalidReason::Name => &self.messages_invalid_name_total,
            InvalidReason::Turn => &self.messages_invalid_turn_total,
            InvalidReason::Mark => &self.messages_invalid_mark_total,
        }
    }

    /// The numbers of invalid messages by reason, as text: form/range/name/turn/mark.
    fn invalid_counts(&self) -> String {
        let reasons = [
            InvalidReason::Form,
            InvalidReason::Range,
            InvalidReason::Name,
            InvalidReason::Turn,
            InvalidReason::Mark,
        ];
        reasons.map(|reason| self.invalid_counter(reason).get().to_string()).join("/")
    }

    /// Logs the main counters as one line.
    pub fn log(&self) {
        tracing::info!(
            joined = self.streams_joined.get(),
            messages_in = self.messages_in_total.get(),
            messages_bad = self.messages_bad_total.get(),
            messages_invalid = self.invalid_counts(),
            messages_out = self.messages_out_total.get(),
            lines_out = self.lines_out_total.get(),
            channel_most = self.channel_lines_most.get(),
            list_version = self.list_version.get(),
            list_failures = self.list_failures_total.get(),
            probes = self.probes_total.get(),
            probes_failed = self.probes_failed_total.get(),
            invariants_broken = self.invariants_broken_total.get(),
            "metrics"
        );
    }
}

#[cfg(test)]
mod tests;
