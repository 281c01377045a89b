//! Every figure that a director sends, in one place: its name, unit, kind, labels and meaning. docs/figures.md has the same
//! table; a test holds them together.

/// How a figure behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Events in an interval. It is sent as the interval's own count, never as a running total: a restart makes no spike
    /// and no negative rate.
    Counter,
    /// A value at the end of an interval.
    Gauge,
    /// Many values in an interval: their count, p50, p90, p99 and max.
    Distribution,
}

impl Kind {
    /// As it is written.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
            Kind::Distribution => "distribution",
        }
    }
}

/// One entry of the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Dotted, stable for good.
    pub name: &'static str,
    /// Of its values.
    pub unit: &'static str,
    /// How it behaves.
    pub kind: Kind,
    /// What it is told apart by, in the order of the name's parts.
    pub labels: &'static [&'static str],
    /// What it says.
    pub about: &'static str,
}

macro_rules! figures {
    ($($id:ident = $name:literal, $unit:literal, $kind:ident, [$($label:literal),*], $about:literal;)*) => {
        /// A figure of the catalogue.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Figure { $(#[doc = $about] $id,)* }

        /// All of them, in the catalogue's order.
        pub const CATALOGUE: &[(Figure, Entry)] = &[$((Figure::$id, Entry {
            name: $name, unit: $unit, kind: Kind::$kind, labels: &[$($label),*], about: $about,
        }),)*];
    };
}

figures! {
    DirectorStart = "director.start", "unix seconds", Gauge, [], "When this life of the director began: a change tells a restart.";
    DirectorUp = "director.up", "seconds", Gauge, [], "How long it has been up; an interval longer than that is told in part.";
    ServiceAsked = "service.asked", "requests", Counter, ["zone", "class"], "Requests that reached the zone's proxies, as they told.";
    ServiceRefused = "service.refused", "requests", Counter, ["zone", "class"], "Requests turned away: asked times what the level in force left out.";
    ServiceLetIn = "service.let_in", "requests", Counter, ["zone", "class"], "Requests let in: asked less refused.";
    ServiceLost = "service.lost", "requests", Counter, ["zone", "class"], "Requests let in and not served.";
    ServiceLate = "service.late", "requests", Counter, ["zone", "class"], "Requests of the above that were told late and are booked to an earlier interval where the receiver takes a past time.";
    TriesTotal = "tries.total", "tries", Counter, ["zone"], "Tries at hosts, as the zone's sums told.";
    TriesLost = "tries.lost", "tries", Counter, ["zone"], "Tries without a good answer.";
    TriesLate = "tries.late", "tries", Counter, ["zone"], "Tries of the above that were told late.";
    TriesMs = "tries.ms", "milliseconds", Distribution, ["zone"], "Mean times of good tries, of each sum, weighted by its tries.";
    TableWritten = "table.written", "milliseconds", Distribution, [], "From an order of the module until its last byte was written to the proxy.";
    TableApplied = "table.applied", "milliseconds", Distribution, [], "From an order to its effect, where the module asked for a mark.";
    ChannelDepth = "channel.depth", "lines", Gauge, [], "Lines that wait in the channel, by its usual pace.";
    ChannelMost = "channel.most", "lines", Gauge, [], "Most lines that waited in the interval.";
    MessagesOrdered = "messages.ordered", "messages", Counter, [], "Messages ordered, each for one proxy.";
    LinesOrdered = "lines.ordered", "lines", Counter, [], "Lines in them.";
    ModuleCalls = "module.calls", "calls", Counter, [], "Calls of the decision module.";
    ModuleEvents = "module.events", "events", Counter, [], "Events it was told.";
    ModuleTime = "module.time", "microseconds", Distribution, [], "Time of a call with its orders carried out.";
    HostsLeading = "hosts.leading", "hosts", Gauge, ["zone"], "Hosts at listed weight in the zone's tables.";
    HostsHalved = "hosts.halved", "hosts", Gauge, ["zone"], "Laggards at half their weight.";
    HostsQuartered = "hosts.quartered", "hosts", Gauge, ["zone"], "Laggards at a quarter or less.";
    HostsOut = "hosts.out", "hosts", Gauge, ["zone"], "Hosts taken out of the zone's tables.";
    HostsTrial = "hosts.trial", "hosts", Gauge, ["zone"], "Hosts on trial.";
    HostsCold = "hosts.cold", "hosts", Gauge, ["zone"], "Hosts that may still be cold, whatever else they are.";
    HostsDraining = "hosts.draining", "hosts", Gauge, ["zone"], "Hosts that drain or are gone and still known.";
    Level = "level", "share or requests a second", Gauge, ["zone", "class"], "What of a class the zone's tables let in.";
    Admitted = "admitted", "share", Gauge, [], "Share of all work that is let in.";
    Load = "load", "share", Gauge, [], "Busy share of the fleet's cores, or what waits say of it.";
    ProxiesJoined = "proxies.joined", "proxies", Gauge, ["zone"], "Proxies joined to this director.";
    StreamsLeft = "streams.left", "streams", Counter, ["zone"], "Streams of proxies that ended.";
    ListAge = "list.age", "seconds", Gauge, [], "Since discovery last told anything, or answered that nothing changed.";
    ListFailures = "list.failures", "calls", Counter, [], "Calls to discovery that failed.";
    PeersIn = "peers.in", "datagrams", Counter, [], "Words of other directors heard.";
    PeersOut = "peers.out", "datagrams", Counter, [], "Words sent to other directors.";
    Invalid = "messages.invalid", "messages", Counter, ["reason"], "Messages dropped because something in them was wrong.";
    ReportsDropped = "reports.dropped", "messages", Counter, [], "Sums and usage dropped because the director lagged behind.";
    ZoneAge = "news.zone.age", "seconds", Gauge, ["zone"], "Since the zone's sums were last heard.";
    ZoneState = "news.zone.state", "0 heard, 1 quiet, 2 silent, 3 cut", Gauge, ["zone"], "What the zone's silence means.";
    ZoneLag = "news.zone.lag", "seconds", Gauge, ["zone"], "How far behind their usual time the zone's sums are.";
    ClassAge = "news.class.age", "seconds", Gauge, ["zone", "class"], "Since usage of the class was last told in the zone.";
    ClassState = "news.class.state", "0 heard, 1 quiet, 2 silent, 3 cut", Gauge, ["zone", "class"], "What the class's silence means.";
    CollectorAge = "news.collector.age", "seconds", Gauge, ["zone"], "Since the zone's collector last said anything.";
    CollectorState = "news.collector.state", "0 heard, 1 quiet, 2 silent, 3 cut", Gauge, ["zone"], "What the collector's silence means.";
    SinkDropped = "sink.dropped", "intervals", Counter, ["receiver", "reason"], "Intervals dropped whole for a receiver.";
    SinkWaiting = "sink.waiting", "bytes", Gauge, ["receiver"], "Bytes that wait for a receiver.";
    SinkSent = "sink.sent", "bytes", Counter, ["receiver"], "Bytes that a receiver took.";
    SinkCuts = "sink.cuts", "connections", Counter, ["receiver"], "Connections to a receiver that failed or were given up on.";
    CaptureLost = "capture.lost", "calls", Counter, [], "Calls that the capture did not record.";
    Invariants = "invariants.broken", "times", Counter, [], "Times that something did not hold that must.";
}

impl Figure {
    /// Its entry.
    pub fn entry(self) -> &'static Entry {
        &CATALOGUE[self as usize].1
    }
}

/// The catalogue as a table in Markdown.
pub fn markdown() -> String {
    let mut out =
        String::from("| name | labels | unit | kind | meaning |\n| --- | --- | --- | --- | --- |\n");
    for (_, entry) in CATALOGUE {
        let labels = if entry.labels.is_empty() { "-".into() } else { entry.labels.join(", ") };
        let (name, kind) = (entry.name, entry.kind.name());
        out.push_str(&format!("| `{name}` | {labels} | {} | {kind} | {} |\n", entry.unit, entry.about));
    }
    out
}

#[cfg(test)]
mod tests;
