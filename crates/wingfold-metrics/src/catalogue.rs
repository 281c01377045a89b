//! The catalogue of all exported metrics: name, unit, kind, labels and meaning. docs/figures.md has the same
//! table; a test compares them. The variants of [`Metric`] are named in the terms of the code, not after the
//! exported names, which must not change.

#[cfg(test)]
mod tests;

/// How the values of a metric relate to their interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Events in the interval, not a running total: a restart causes neither a spike nor a negative rate.
    Counter,
    /// The value at the end of the interval.
    Gauge,
    /// Count, p50, p90, p99 and maximum of the values recorded in the interval.
    Distribution,
}

impl MetricKind {
    /// The kind's name in the catalogue.
    pub fn name(self) -> &'static str {
        match self {
            MetricKind::Counter => "counter",
            MetricKind::Gauge => "gauge",
            MetricKind::Distribution => "distribution",
        }
    }
}

/// The catalogue's description of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricDescriptor {
    /// The metric.
    pub metric: Metric,
    /// The exported name, which never changes.
    pub name: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// How the values relate to their interval.
    pub kind: MetricKind,
    /// The names of the labels. [`Sample::labels`](crate::Sample::labels) has their values in the same order.
    pub labels: &'static [&'static str],
    /// What the metric measures.
    pub description: &'static str,
}

/// Defines [`Metric`] and [`CATALOGUE`], in the same order.
macro_rules! metrics {
    ($($id:ident = $name:literal, $unit:literal, $kind:ident, [$($label:literal),*], $description:literal;)*) => {
        /// A metric of the catalogue.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Metric { $(#[doc = $description] $id,)* }

        /// Descriptors of all metrics, in the order of the catalogue.
        pub const CATALOGUE: &[MetricDescriptor] = &[$(MetricDescriptor {
            metric: Metric::$id,
            name: $name,
            unit: $unit,
            kind: MetricKind::$kind,
            labels: &[$($label),*],
            description: $description,
        },)*];
    };
}

metrics! {
    DirectorStartTime = "director.start", "unix seconds", Gauge, [], "When this life of the director began: a change tells a restart.";
    DirectorUptime = "director.up", "seconds", Gauge, [], "How long it has been up; an interval longer than that is told in part.";
    RequestsOffered = "service.asked", "requests", Counter, ["zone", "class"], "Requests that reached the zone's proxies, as they told.";
    RequestsRejected = "service.refused", "requests", Counter, ["zone", "class"], "Requests turned away: asked times what the level in force left out.";
    RequestsAdmitted = "service.let_in", "requests", Counter, ["zone", "class"], "Requests let in: asked less refused.";
    RequestsFailed = "service.lost", "requests", Counter, ["zone", "class"], "Requests let in and not served.";
    RequestsReportedLate = "service.late", "requests", Counter, ["zone", "class"], "Requests of the above that were told late and are booked to an earlier interval where the receiver takes a past time.";
    Attempts = "tries.total", "tries", Counter, ["zone"], "Tries at hosts, as the zone's sums told.";
    AttemptsFailed = "tries.lost", "tries", Counter, ["zone"], "Tries without a good answer.";
    AttemptsReportedLate = "tries.late", "tries", Counter, ["zone"], "Tries of the above that were told late.";
    AttemptLatency = "tries.ms", "milliseconds", Distribution, ["zone"], "Mean times of good tries, of each sum, weighted by its tries.";
    TableWriteDelay = "table.written", "milliseconds", Distribution, [], "From an order of the module until its last byte was written to the proxy.";
    TableAcknowledgementDelay = "table.applied", "milliseconds", Distribution, [], "From an order to its effect, where the module asked for a mark.";
    QueuedLines = "channel.depth", "lines", Gauge, [], "Lines that wait in the channel, by its usual pace.";
    MaxQueuedLines = "channel.most", "lines", Gauge, [], "Most lines that waited in the interval.";
    ProxyMessages = "messages.ordered", "messages", Counter, [], "Messages ordered, each for one proxy.";
    ProxyMessageLines = "lines.ordered", "lines", Counter, [], "Lines in them.";
    ModuleCalls = "module.calls", "calls", Counter, [], "Calls of the decision module.";
    ModuleEvents = "module.events", "events", Counter, [], "Events it was told.";
    ModuleCallDuration = "module.time", "microseconds", Distribution, [], "Time of a call with its orders carried out.";
    HostsLeading = "hosts.leading", "hosts", Gauge, ["zone"], "Hosts at listed weight in the zone's tables.";
    HostsWeightHalved = "hosts.halved", "hosts", Gauge, ["zone"], "Laggards at half their weight.";
    HostsWeightQuartered = "hosts.quartered", "hosts", Gauge, ["zone"], "Laggards at a quarter or less.";
    HostsEjected = "hosts.out", "hosts", Gauge, ["zone"], "Hosts taken out of the zone's tables.";
    HostsInProbation = "hosts.trial", "hosts", Gauge, ["zone"], "Hosts on trial.";
    HostsWarmingUp = "hosts.cold", "hosts", Gauge, ["zone"], "Hosts that may still be cold, whatever else they are.";
    HostsNotReady = "hosts.draining", "hosts", Gauge, ["zone"], "Hosts that drain or are gone and still known.";
    AdmissionLevel = "level", "share or requests a second", Gauge, ["zone", "class"], "What of a class the zone's tables let in.";
    AdmissionRatio = "admitted", "share", Gauge, [], "Share of all work that is let in.";
    Utilization = "load", "share", Gauge, [], "Busy share of the fleet's cores, or what waits say of it.";
    ProxiesConnected = "proxies.joined", "proxies", Gauge, ["zone"], "Proxies joined to this director.";
    ProxiesDisconnected = "streams.left", "streams", Counter, ["zone"], "Streams of proxies that ended.";
    EndpointListAge = "list.age", "seconds", Gauge, [], "Since discovery last told anything, or answered that nothing changed.";
    EndpointListFailures = "list.failures", "calls", Counter, [], "Calls to discovery that failed.";
    PeerDatagramsReceived = "peers.in", "datagrams", Counter, [], "Words of other directors heard.";
    PeerDatagramsSent = "peers.out", "datagrams", Counter, [], "Words sent to other directors.";
    InvalidMessages = "messages.invalid", "messages", Counter, ["reason"], "Messages dropped because something in them was wrong.";
    ReportsDropped = "reports.dropped", "messages", Counter, [], "Sums and usage dropped because the director lagged behind.";
    LoadReportAge = "news.zone.age", "seconds", Gauge, ["zone"], "Since the zone's sums were last heard.";
    LoadReportState = "news.zone.state", "0 heard, 1 quiet, 2 silent, 3 cut", Gauge, ["zone"], "What the zone's silence means.";
    LoadReportLag = "news.zone.lag", "seconds", Gauge, ["zone"], "How far behind their usual time the zone's sums are.";
    UsageReportAge = "news.class.age", "seconds", Gauge, ["zone", "class"], "Since usage of the class was last told in the zone.";
    UsageReportState = "news.class.state", "0 heard, 1 quiet, 2 silent, 3 cut", Gauge, ["zone", "class"], "What the class's silence means.";
    CollectorAge = "news.collector.age", "seconds", Gauge, ["zone"], "Since the zone's collector last said anything.";
    CollectorState = "news.collector.state", "0 heard, 1 quiet, 2 silent, 3 cut", Gauge, ["zone"], "What the collector's silence means.";
    SinkIntervalsDropped = "sink.dropped", "intervals", Counter, ["receiver", "reason"], "Intervals dropped whole for a receiver.";
    SinkQueuedBytes = "sink.waiting", "bytes", Gauge, ["receiver"], "Bytes that wait for a receiver.";
    SinkBytesSent = "sink.sent", "bytes", Counter, ["receiver"], "Bytes that a receiver took.";
    SinkFailedConnections = "sink.cuts", "connections", Counter, ["receiver"], "Connections to a receiver that failed or were given up on.";
    CaptureCallsLost = "capture.lost", "calls", Counter, [], "Calls that the capture did not record.";
    InvariantViolations = "invariants.broken", "times", Counter, [], "Times that something did not hold that must.";
}

impl Metric {
    /// The metric's descriptor in the catalogue.
    pub fn descriptor(self) -> &'static MetricDescriptor {
        &CATALOGUE[self as usize]
    }
}

/// The catalogue as a Markdown table.
pub fn markdown() -> String {
    let mut table =
        String::from("| name | labels | unit | kind | meaning |\n| --- | --- | --- | --- | --- |\n");
    for descriptor in CATALOGUE {
        let labels = &descriptor.labels;
        let labels = if labels.is_empty() { "-".into() } else { labels.join(", ") };
        let MetricDescriptor { name, unit, kind, description, .. } = descriptor;
        let kind = kind.name();
        table.push_str(&format!("| `{name}` | {labels} | {unit} | {kind} | {description} |\n"));
    }
    table
}
