//! The one task that owns the decision module: drains what was taken in, calls the module once, and passes its
//! orders on.

#[cfg(test)]
mod tests;

use crate::clock::Clock;
use crate::discovery::Ask;
use crate::figures::Figures;
use crate::inbox::{Intake, News};
use crate::invariant;
use crate::list::Addresses;
use crate::log::Seldom;
use crate::message::{self, Invalid, Outbound};
use crate::metrics::Metrics;
use crate::outbox::{Link, Slow};
use crate::peers::Post;
use crate::probe::Prober;
use crate::recorder::Dumps;
use crate::tables::{Order, Tables};
use crate::{log, or_never, stage};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep_until;
use wingfold_archive::WriterQueue;
use wingfold_capture::Recorder;
use wingfold_director::interface::{Action, EndpointListKind, Event, ProxyId, Timestamp};
use wingfold_director::Director;

/// A message has so many parts at most.
const MOST_PARTS: usize = 64;

/// A timer that rings so much late means that the process stood still: it was stopped, or got no processor time.
const STANDSTILL: Duration = Duration::from_secs(1);

/// The decision module and all that its orders need.
pub struct Engine {
    /// The module.
    pub director: Director,
    /// The time.
    pub clock: Clock,
    /// What its orders mean to each stream.
    pub tables: Tables,
    /// Where orders about the list go.
    pub discovery: UnboundedSender<Ask>,
    /// Where probes go.
    pub prober: Prober,
    /// Where words to other directors go.
    pub post: Option<Arc<Post>>,
    /// Where each host answers.
    pub addresses: Addresses,
    /// Hosts that may be known at once.
    pub most_hosts: usize,
    /// Bounds the lines about hosts refused.
    pub refusals: Seldom,
    /// How orders travel.
    pub channel: Channel,
    /// The figures.
    pub metrics: Arc<Metrics>,
    /// The streams of joined proxies.
    pub links: BTreeMap<ProxyId, Link>,
    /// Timers that are set.
    pub timers: BinaryHeap<Reverse<(Timestamp, u64)>>,
    /// Calls of the module so far: a decision's line in the log bears the number of its call, as a capture does.
    pub calls: u64,
    /// Writes each call down, where that is switched on.
    pub tap: Option<Recorder<WriterQueue>>,
    /// Writes out what a capture in memory holds.
    pub dumps: Option<Dumps>,
    /// Counts for receivers of figures, where that is switched on.
    pub figures: Option<Figures>,
}

/// The channel's own count of lines, by its usual pace: only to see that the module keeps within it.
#[derive(Debug, Default)]
pub struct Channel {
    /// Lines a second.
    pub pace: f64,
    /// Lines that each message costs besides its own.
    pub overhead: f64,
    /// Lines that may wait.
    pub most: f64,
    /// Lines that wait, as of the time beside it.
    pub waiting: f64,
    /// When that was.
    pub at: Timestamp,
}

impl Channel {
    /// Books the lines of one answer.
    fn add(&mut self, now: Timestamp, messages: usize, lines: usize) -> f64 {
        self.waiting = (self.waiting - self.pace * now.since(self.at)).max(0.0);
        self.waiting += lines as f64 + self.overhead * messages as f64;
        self.at = now;
        self.waiting
    }
}

impl Engine {
    /// Runs until nothing can be taken in any more.
    pub async fn run(mut self, mut intake: Intake) {
        let (mut news, mut events, mut actions) = (Vec::new(), Vec::new(), Vec::new());
        // The module is asked once before anything came, to set its first timer.
        self.answer(self.clock.now(), &mut events, &mut actions);
        loop {
            let due = self.timers.peek().map(|Reverse((at, _))| self.clock.instant(*at));
            tokio::select! {
                alive = intake.take(&mut news) => if !alive { return },
                () = or_never(due.map(sleep_until)) => {}
            }
            {
                let _stage = stage!("take in", call = self.calls + 1).entered();
                for one in news.drain(..) {
                    self.take(one, &mut events);
                }
            }
            let now = self.clock.now();
            self.ring(now, &mut events);
            if !events.is_empty() {
                self.answer(now, &mut events, &mut actions);
            }
        }
    }

    /// Takes the timers that are due.
    fn ring(&mut self, now: Timestamp, events: &mut Vec<Event>) {
        if let Some(Reverse((at, _))) = self.timers.peek() {
            self.note_late(Duration::from_micros(now.0.saturating_sub(at.0)));
        }
        let due = |timer: &&Reverse<(Timestamp, u64)>| timer.0 .0 <= now;
        while let Some(Reverse((_, token))) = self.timers.peek().filter(due).copied() {
            self.timers.pop();
            events.push(Event::TimerFired(token));
        }
    }

    /// Books how late a timer rings, and tells of it where the process must have stood still.
    fn note_late(&self, late: Duration) {
        self.metrics.timer_late_us_most.at_least(late.as_micros() as u64);
        if late >= STANDSTILL {
            self.metrics.standstills_total.one();
            tracing::warn!(?late, "the process stood still: nothing was heard or ordered meanwhile");
        }
    }

    /// Turns what was taken in into events.
    fn take(&mut self, news: News, events: &mut Vec<Event>) {
        match news {
            News::Joined(proxy, _, _, link)
                if self.links.get(&proxy).is_some_and(|held| held.number > link.number) =>
            {
                // Its joining was read late: the proxy has opened the stream in use after it.
                self.metrics.streams_overtaken_total.one();
                link.end();
            }
            News::Joined(proxy, zone, rate, link) => {
                if let Some(old) = self.links.insert(proxy, link) {
                    self.metrics.streams_replaced_total.one();
                    old.end();
                    self.left(proxy, events);
                }
                tracing::info!(proxy = proxy.0, zone = &*zone.0, "joined");
                self.tables.joined(proxy);
                events.push(Event::ProxyConnected { proxy, zone, requests_per_s: rate });
            }
            News::Left(proxy, number) => {
                // The end of a stream that a newer one has replaced was told when that came.
                if self.links.get(&proxy).is_some_and(|link| link.number == number) {
                    self.links.remove(&proxy);
                    self.left(proxy, events);
                }
            }
            News::List(kind, mut list) => {
                let refused = self.addresses.learn(&mut list, self.most_hosts);
                if refused > 0 {
                    self.metrics.hosts_refused_total.add(refused as u64);
                    if let Some(left_out) = self.refusals.line() {
                        let most = self.most_hosts;
                        tracing::warn!(
                            refused,
                            most,
                            left_out,
                            "key `limits.memory_mb`: too little for more hosts"
                        );
                    }
                }
                let entries = list.entries();
                if kind != EndpointListKind::Changes {
                    self.metrics.list_hosts.set(entries.len() as u64);
                }
                events.push(Event::EndpointList { kind, endpoints: entries });
            }
            // Only here it is known which hosts and marks there are.
            News::Report(Event::LoadReport { host, .. } | Event::HealthChecked { host, .. })
                if self.addresses.of(&host.0).is_none() =>
            {
                self.metrics.invalid(Invalid::Name);
            }
            // The one who was asked has been replaced since: its load says nothing of the one that bears the name now.
            News::Probed(host, life, ..) if self.addresses.of(&host.0).is_none_or(|now| now.life != life) => {
                self.metrics.probes_overtaken_total.one();
            }
            News::Probed(host, _, outcome, load) => events.push(Event::HealthChecked { host, outcome, load }),
            News::Told(Event::Acknowledged { proxy, barrier: mark, .. })
                if !self.tables.answered(proxy, mark) =>
            {
                self.metrics.invalid(Invalid::Mark);
            }
            News::Told(event) | News::Report(event) => events.push(event),
        }
        self.metrics.streams_joined.set(self.links.len() as u64);
    }

    fn left(&mut self, proxy: ProxyId, events: &mut Vec<Event>) {
        self.tables.left(proxy);
        self.metrics.streams_left_total.one();
        events.push(Event::ProxyDisconnected(proxy));
    }

    /// Calls the module once and passes on all that it orders.
    fn answer(&mut self, now: Timestamp, events: &mut Vec<Event>, actions: &mut Vec<Action>) {
        let begun = Instant::now();
        let broken = self.metrics.invariants_broken_total.get();
        self.calls += 1;
        if let Some(figures) = &mut self.figures {
            figures.told(now, events);
        }
        if let Some(tap) = &mut self.tap {
            tap.before_call(now, &self.director);
        }
        let stage = stage!("route", call = self.calls).entered();
        self.director.handle(now, events, actions);
        if let Some(tap) = &mut self.tap {
            tap.after_call(now, events, actions, self.director.digest());
            self.metrics.capture_calls_lost_total.set(tap.dropped_calls());
        }
        self.metrics.events_most.at_least(events.len() as u64);
        events.clear();
        let orders = self.tables.carry_out(actions);
        drop(stage);
        let lines = orders.iter().map(Order::lines).sum();
        let messages = orders.len();
        let waiting = self.channel.add(now, messages, lines);
        self.metrics.channel_lines.set(waiting as u64);
        self.metrics.channel_lines_most.at_least(waiting as u64);
        let most = self.channel.most;
        invariant!(self.metrics, waiting <= most, "{waiting:.0} lines wait where {most:.0} may");
        let stage = stage!("send", call = self.calls).entered();
        orders.into_iter().for_each(|order| self.send(order, begun));
        drop(stage);
        for action in actions.drain(..) {
            match action {
                Action::WatchEndpoints(on) => drop(self.discovery.send(Ask::Watch(on))),
                Action::FetchEndpoints => drop(self.discovery.send(Ask::Fetch)),
                Action::SetTimer { at, token } => self.timers.push(Reverse((at, token))),
                Action::CheckHealth(host) => {
                    let address = self.addresses.of(&host.0).cloned();
                    self.prober.probe(host, address);
                }
                Action::SendToPeer { to, message: bytes } => {
                    if let Some(post) = &self.post {
                        post.send(to, &bytes);
                    }
                }
                Action::EvictHost(host) => {
                    self.addresses.forget(&host.0);
                    self.tables.forget(&host);
                }
                // Names from outside stand in it.
                Action::Notice(notice) => {
                    tracing::info!(call = self.calls, "{}", log::plain(&notice.to_string()))
                }
                // Orders about tables are in the messages sent above.
                Action::SetEntry { .. } | Action::ClearTable(_) | Action::AssignTable { .. } => {}
                Action::SetEjected { .. } | Action::SetAdmission { .. } | Action::Barrier { .. } => {}
            }
        }
        self.metrics.hosts_known.set(self.addresses.len() as u64);
        self.metrics.answers_total.one();
        let took = begun.elapsed().as_micros() as u64;
        self.metrics.answer_us_total.add(took);
        if let Some(figures) = &mut self.figures {
            let _stage = stage!("book", call = self.calls).entered();
            figures.meter.answered(took, messages, lines, waiting);
            figures.after(now, &self.director, &self.metrics);
        }
        if let Some(dumps) =
            self.dumps.as_ref().filter(|_| self.metrics.invariants_broken_total.get() > broken)
        {
            dumps.invariant();
        }
    }

    /// Encodes one proxy's orders and queues them on its stream.
    fn send(&mut self, order: Order, ordered: Instant) {
        let Some(link) = self.links.get(&order.proxy) else { return };
        let (parts, lines) = (order.parts.len(), order.lines());
        invariant!(self.metrics, parts <= MOST_PARTS, "a message of {parts} parts");
        for part in &order.parts {
            let sane = |figure: f64| figure.is_finite() && figure >= 0.0;
            let figures = part.lines.iter().all(|line| sane(line.1));
            invariant!(self.metrics, figures && part.admit.is_none_or(|a| sane(a.level)), "a figure below 0");
            let mut named = part.lines.iter().map(|line| &line.0).chain(&part.out).chain(&part.back);
            let listed = named.all(|host| self.addresses.of(host).is_some());
            invariant!(self.metrics, listed, "a line names a host that discovery has never listed");
        }
        let frames = order.parts.into_iter().map(|part| message::encode(&Outbound::Config(part))).collect();
        if link.order(frames, ordered) == Err(Slow) {
            tracing::warn!(proxy = order.proxy.0, "leaves too much unread, its stream ends");
            self.metrics.readers_slow_total.one();
            link.end();
            return;
        }
        self.metrics.messages_out_total.one();
        self.metrics.parts_out_total.add(parts as u64);
        self.metrics.lines_out_total.add(lines as u64);
    }
}
