//! A group of receivers, which is one block of the settings. A group renders intervals for its receivers; if
//! the block has several addresses, it sends each receiver all values or distributes the values over them.

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

/// Intervals that may be queued for a task. A task takes them as soon as it runs and limits what it keeps
/// by itself, so this queue is full only if the task does not run.
const QUEUE_INTERVALS: usize = 16;

/// The format in which intervals are written.
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
    /// Assigns metric names to addresses if each value goes to one address only; `None` if all get every
    /// value.
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

    /// The name of one receiver, used in counters and log lines.
    fn label(&self, address: &str) -> Arc<str> {
        if self.addresses.len() > 1 {
            format!("{}-{address}", self.name).into()
        } else {
            self.name.into()
        }
    }
}

/// The task of one receiver, and the queue to it. The task ends when it is aborted or its queue is closed.
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
        // Creates the counters of the receiver, so that they are exported from the start.
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
            // The task has not run for many intervals, so the whole runtime is overloaded.
            let label = Arc::from(self.address.as_str());
            context.stats.update(&label, |counters| counters.count_dropped("late"));
        }
    }
}

/// Hashes an address (FNV-1a), so that receivers get different seeds. Nothing else depends on the hash.
fn fnv1a(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xCBF2_9CE4_8422_2325;
    const PRIME: u64 = 0x100_0000_01B3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// A group of receivers whose tasks are running.
pub(super) struct SinkGroup {
    /// The receivers, in the order of their addresses in the settings.
    sinks: Vec<SinkHandle>,
    ring: Option<HashRing>,
    renderer: Renderer,
}

impl SinkGroup {
    /// Starts the tasks of a group. The tasks of the predecessor are kept for addresses that are in both, and
    /// aborted for all others.
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

    /// Whether the group writes intervals in the format of these settings.
    pub(super) fn renders_like(&self, settings: &SinkGroupSettings<'_>) -> bool {
        self.renderer == settings.renderer
    }

    /// Aborts all tasks and discards their queues.
    pub(super) fn abort(self) {
        for sink in self.sinks {
            sink.task.abort();
        }
    }

    /// Renders an interval and passes it to the tasks.
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
