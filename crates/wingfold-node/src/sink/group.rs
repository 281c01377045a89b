//! A group of receivers: one block of the settings. Renders intervals, and distributes their values where the block has
//! several addresses.

use super::tcp::TcpSink;
use super::udp::UdpSink;
use super::{ReceiverHealth, RenderedInterval, SinkContext};
use crate::clock::micros;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::mpsc::{channel, Sender};
use tokio::task::JoinHandle;
use wingfold_metrics::collectd::{self, PacketSecurity, ValueList};
use wingfold_metrics::graphite::{self, Naming, Point};
use wingfold_metrics::hash_ring::HashRing;
use wingfold_metrics::{Interval, Sink, SinkLimits};
use wingfold_settings::local::{CollectdSettings, GraphiteProtocol, GraphiteSettings, SinkAssignment};

/// Intervals that may wait for a task: it takes them at its next turn, and counts what it drops itself.
const QUEUE_INTERVALS: usize = 16;

/// How intervals are written.
#[derive(Clone, PartialEq)]
enum Renderer {
    Graphite { naming: Naming, protocol: GraphiteProtocol },
    Collectd { director: String, packet_bytes: usize, security: PacketSecurity },
}

impl Renderer {
    fn is_udp(&self) -> bool {
        match self {
            Renderer::Graphite { protocol, .. } => *protocol == GraphiteProtocol::Udp,
            Renderer::Collectd { .. } => true,
        }
    }
}

/// One block of the settings.
pub(super) struct SinkGroupSettings<'a> {
    pub(super) name: &'a str,
    addresses: &'a [String],
    /// Assigns names to addresses, where each value goes to one of them.
    ring: Option<HashRing>,
    renderer: Renderer,
    limits: &'a SinkLimits,
}

impl<'a> SinkGroupSettings<'a> {
    pub(super) fn graphite(settings: &'a GraphiteSettings, context: &SinkContext) -> Self {
        let naming = Naming {
            prefix: settings.prefix.clone(),
            director: context.director.clone(),
            tags: settings.tags,
        };
        let ring = match settings.assignment {
            SinkAssignment::ConsistentHash => {
                Some(HashRing::new(&settings.addresses, micros(settings.settle_time)))
            }
            SinkAssignment::Replicate => None,
        };
        SinkGroupSettings {
            name: &settings.name,
            addresses: &settings.addresses,
            ring,
            renderer: Renderer::Graphite { naming, protocol: settings.protocol },
            limits: &settings.limits,
        }
    }

    pub(super) fn collectd(settings: &'a CollectdSettings, context: &SinkContext) -> Self {
        let renderer = Renderer::Collectd {
            director: context.director.clone(),
            packet_bytes: settings.max_packet_bytes,
            security: settings.security.clone(),
        };
        SinkGroupSettings {
            name: &settings.name,
            addresses: std::slice::from_ref(&settings.address),
            ring: None,
            renderer,
            limits: &settings.limits,
        }
    }

    /// The name of one receiver in counters and log lines.
    fn label(&self, address: &str) -> Arc<str> {
        if self.addresses.len() > 1 {
            format!("{}-{address}", self.name).into()
        } else {
            self.name.into()
        }
    }
}

/// The task of one receiver, and the way to it. The task ends when it is aborted or its queue is closed.
struct SinkHandle {
    address: String,
    queue: Sender<RenderedInterval>,
    health: Arc<ReceiverHealth>,
    task: JoinHandle<()>,
}

impl SinkHandle {
    /// Starts the task of the receiver at position `index` of its block.
    fn start(settings: &SinkGroupSettings<'_>, address: &str, index: usize, context: &SinkContext) -> Self {
        let label = settings.label(address);
        tracing::info!(receiver = &*label, address, "sink started");
        let (queue, work) = channel(QUEUE_INTERVALS);
        let health = Arc::new(ReceiverHealth::default());
        // The receiver is in the counters from the start.
        context.stats.update(&label, |_| ());
        let task = if settings.renderer.is_udp() {
            let sink = UdpSink::new(label, address.to_string(), work, context.stats.clone());
            tokio::spawn(sink.run())
        } else {
            let seed = context.seed ^ fnv1a(address) ^ index as u64;
            let core = Sink::new(settings.limits.clone(), seed);
            let sink = TcpSink::new(label, address.to_string(), work, core, context, health.clone());
            tokio::spawn(sink.run())
        };
        SinkHandle { address: address.to_string(), queue, health, task }
    }

    fn enqueue(&self, work: RenderedInterval, context: &SinkContext) {
        if self.queue.try_send(work).is_err() {
            // The task has not had a turn for many intervals: the whole runtime is late.
            let label = Arc::from(self.address.as_str());
            context.stats.update(&label, |counters| counters.count_dropped("late"));
        }
    }
}

/// Spreads the seeds of receivers; it need not be the same anywhere else.
fn fnv1a(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xCBF2_9CE4_8422_2325;
    const PRIME: u64 = 0x100_0000_01B3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// A group of receivers, running.
pub(super) struct SinkGroup {
    /// In the order of the settings.
    sinks: Vec<SinkHandle>,
    ring: Option<HashRing>,
    renderer: Renderer,
}

impl SinkGroup {
    /// Starts the tasks of a group. Receivers of the predecessor at the same address go on, the others are aborted.
    pub(super) fn start(
        settings: SinkGroupSettings<'_>,
        predecessor: Option<SinkGroup>,
        context: &SinkContext,
    ) -> SinkGroup {
        let mut old = predecessor.map(SinkGroup::into_sinks_by_address).unwrap_or_default();
        let mut sinks = Vec::new();
        for (index, address) in settings.addresses.iter().enumerate() {
            let sink = match old.remove(address) {
                Some(sink) => sink,
                None => SinkHandle::start(&settings, address, index, context),
            };
            sinks.push(sink);
        }
        for sink in old.into_values() {
            sink.task.abort();
        }
        SinkGroup { sinks, ring: settings.ring, renderer: settings.renderer }
    }

    fn into_sinks_by_address(self) -> BTreeMap<String, SinkHandle> {
        self.sinks.into_iter().map(|sink| (sink.address.clone(), sink)).collect()
    }

    /// Whether intervals are written as these settings say.
    pub(super) fn renders_like(&self, settings: &SinkGroupSettings<'_>) -> bool {
        self.renderer == settings.renderer
    }

    /// Ends all tasks, with what waits for them.
    pub(super) fn abort(self) {
        for sink in self.sinks {
            sink.task.abort();
        }
    }

    /// Renders an interval and gives it to the tasks.
    pub(super) fn send(&mut self, interval: &Interval, context: &SinkContext, random: &mut ChaCha8Rng) {
        match &self.renderer {
            Renderer::Collectd { director, packet_bytes, security } => {
                let lists: Vec<ValueList> = interval
                    .samples
                    .iter()
                    .filter_map(|sample| ValueList::from_sample(director, interval, sample))
                    .collect();
                let packets = collectd::encode_packets(&lists, *packet_bytes, security, random);
                self.sinks[0].enqueue(RenderedInterval::Datagrams(Arc::new(packets)), context);
            }
            Renderer::Graphite { naming, protocol } => {
                let points = naming.points(interval);
                let protocol = *protocol;
                self.send_points(points, protocol, context);
            }
        }
    }

    fn send_points(&mut self, points: Vec<Point>, protocol: GraphiteProtocol, context: &SinkContext) {
        let Some(ring) = &mut self.ring else {
            let work = render_points(&points, protocol);
            for sink in &self.sinks {
                sink.enqueue(work.clone(), context);
            }
            return;
        };
        let now = context.clock.now();
        for (index, sink) in self.sinks.iter().enumerate() {
            ring.update_health(now, index, sink.health.is_down(), sink.health.healthy_since());
        }
        let mut points_by_sink: Vec<Vec<Point>> = vec![Vec::new(); self.sinks.len()];
        for point in points {
            points_by_sink[ring.sink_for(&point.path)].push(point);
        }
        for (sink, points) in self.sinks.iter().zip(&points_by_sink) {
            if !points.is_empty() {
                sink.enqueue(render_points(points, protocol), context);
            }
        }
    }
}

fn render_points(points: &[Point], protocol: GraphiteProtocol) -> RenderedInterval {
    match protocol {
        GraphiteProtocol::Plain => RenderedInterval::Bytes(graphite::encode_lines(points)),
        GraphiteProtocol::Pickle => RenderedInterval::Bytes(graphite::encode_pickles(points)),
        GraphiteProtocol::Udp => RenderedInterval::Datagrams(Arc::new(graphite::encode_datagrams(points))),
    }
}
