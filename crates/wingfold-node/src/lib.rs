//! A wingfold director as a service on sockets, made to be embedded: [`Config`] says what it is told at its start,
//! [`run`] serves until it is asked to end. All decisions are those of `wingfold-director`; here messages are
//! taken in, admitted, routed, sent, relayed and booked (docs/architecture.md maps these stages to units).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod accept;
mod admission;
mod causes;
mod client;
mod clock;
mod collector;
pub mod config;
mod discovery;
mod engine;
mod figures;
mod frame;
mod health_check;
mod http;
mod inbox;
mod incoming;
mod intake;
mod list;
mod log;
mod message;
mod metrics;
mod ops;
mod outbox;
mod peers;

mod recorder;
mod reload;
mod sink;
mod stream;
mod tables;

pub use causes::Causes;
pub use config::{Config, First};
pub use recorder::build;

use admission::Admission;
use clock::Clock;
use config::ConfigError;
use engine::{Channel, Engine};
use metrics::Metrics;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::time::Instant;
use wingfold_director::interface::{EndpointListKind, LoadReportSource, Micros};
use wingfold_director::Director;
use wingfold_settings::own::{Own, Sinks};

/// The log shows the main figures so often: `/metrics` has all of them, but not those of a director that is gone.
const FIGURES_EVERY: std::time::Duration = std::time::Duration::from_secs(10);

/// An address that is in use is waited for so long: a restart that takes longer is not ready in time anyway.
const HELD: std::time::Duration = std::time::Duration::from_secs(10);
/// And looked at so often meanwhile.
const HELD_LOOK: std::time::Duration = std::time::Duration::from_millis(50);

/// Why a director ended without being asked to.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An address of the configuration cannot be bound.
    #[error("key `{key}`: cannot listen on {address}: {problem}")]
    Listen {
        /// The key.
        key: &'static str,
        /// The address.
        address: std::net::SocketAddr,
        /// Why not.
        problem: std::io::Error,
    },
    /// A task that must run for good has ended.
    #[error("a task that must run for good has ended: {0}")]
    Ended(String),
    /// The configuration is wrong.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The runtime cannot start.
    #[error("the runtime cannot start: {0}")]
    Start(#[from] std::io::Error),
}

/// Waits for what there may be; for good where there is nothing.
async fn or_never<T>(one: Option<impl Future<Output = T>>) -> T {
    match one {
        Some(one) => one.await,
        None => std::future::pending().await,
    }
}

/// Serves as a director until SIGTERM or an interrupt; at SIGHUP it reads the configuration anew by `read`, which is
/// told whether variables or the file's keys go first, and what the platform's configuration does not speak of by `read_own`.
/// Both are called on threads of their own: a file that hangs holds up neither orders nor the end.
pub async fn run(
    Start { own, causes }: Start,
    read: impl Fn(First) -> Result<Config, ConfigError> + Clone + Send + 'static,
    read_own: impl Fn() -> Result<Own, String> + Clone + Send + 'static,
) -> Result<(), RunError> {
    // Signals are heard before anything else: one that nobody hears ends the process.
    let hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let asked = async move {
        tokio::select! {
            _ = terminate.recv() => tracing::info!("asked to end"),
            _ = interrupt.recv() => tracing::info!("interrupted"),
        }
    };
    tokio::pin!(asked);
    let first = read.clone();
    let config = tokio::select! {
        () = &mut asked => return Ok(()),
        config = reload::aside(move || first(First::Variable)) => config,
    };
    let config = config.ok_or_else(|| RunError::Ended("reading the configuration".into()))??;
    let (to, config) = watch::channel(Arc::new(config));
    let sinks = own.figures.as_ref().map(|figures| figures.sinks.clone()).unwrap_or_default();
    let (receivers, sinks) = watch::channel(Arc::new(sinks));
    let both = move || (read(First::Key), read_own());
    let settings = own.clone();
    let end = async {
        tokio::select! {
            () = asked => {}
            () = reload::run(hangup, to, (settings, receivers), both) => {}
        }
    };
    serve(config, Start { own, causes }, sinks, end).await
}

/// Binds an address. The predecessor of a restart may hold it a moment longer, so one that is in use is tried again.
async fn bind<T, F: Future<Output = std::io::Result<T>>>(
    key: &'static str,
    address: SocketAddr,
    until: Instant,
    once: impl Fn(SocketAddr) -> F,
) -> Result<T, RunError> {
    let mut told = false;
    loop {
        match once(address).await {
            Err(problem) if problem.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                if !std::mem::replace(&mut told, true) {
                    tracing::warn!("key `{key}`: {address} is still in use, waiting for it");
                }
                tokio::time::sleep(HELD_LOOK).await;
            }
            bound => return bound.map_err(|problem| RunError::Listen { key, address, problem }),
        }
    }
}

/// Serves as a director until `end` is ready: for programs that have signals of their own. What `config` holds at the
/// start is served; of what follows, `Config::with` says what takes effect at once.
pub async fn serve(
    config: watch::Receiver<Arc<Config>>,
    Start { mut own, causes }: Start,
    sinks: watch::Receiver<Arc<Sinks>>,
    end: impl Future<Output = ()>,
) -> Result<(), RunError> {
    tokio::pin!(end);
    let (following, mut config) = (config.clone(), Config::clone(&config.borrow()));
    // What the capture takes is taken from the same limits, not on top of them.
    let bounds = config.bounds.less(own.memory(), own.descriptors())?;
    if bounds.connections < bounds.named && config.bounds.connections >= bounds.named && own.figures.is_some()
    {
        // Whoever joins goes first: figures are a help, and orders are the work.
        tracing::warn!(
            "key `limits.sockets`: too few for all that may join and for figures, which are not sent"
        );
        own.figures = None;
    }
    config.bounds = config.bounds.less(own.memory(), own.descriptors())?;
    let clock = Clock::start();
    let metrics = Arc::new(Metrics::default());
    let (figures_in, peers) = (own.figures.as_ref().and_then(|own| own.intake.clone()), config.peers.clone());
    let figures_in = match figures_in {
        Some(_) if config.settings.load_report_source != LoadReportSource::Never => {
            tracing::warn!("key `collectd_in`: the platform's own reports tell loads, so it is not used");
            None
        }
        figures_in => figures_in,
    };
    let open = async {
        let until = Instant::now() + HELD;
        let listener = bind("listen", config.listen, until, TcpListener::bind).await?;
        let figures_in = match figures_in {
            None => None,
            Some(from) => {
                let socket = bind("collectd_in.listen", from.listen, until, UdpSocket::bind).await?;
                Some((socket, from))
            }
        };
        let post = match peers {
            None => None,
            Some(peers) => {
                let socket = bind("peer_listen", peers.listen, until, UdpSocket::bind).await?;
                Some(Arc::new(peers::PeerSocket::new(socket, peers, metrics.clone())))
            }
        };
        Ok::<_, RunError>((listener, figures_in, post))
    };
    let (listener, figures_in, post) = tokio::select! {
        () = &mut end => return Ok(()),
        open = open => open?,
    };
    let (inbox, intake) = inbox::inbox(config.bounds.reports, metrics.clone());
    let recorder = match own.capture {
        None => None,
        Some(capture) => Some(recorder::start(capture, &config, clock.now(), metrics.clone())?),
    };
    let (tap, dumps) = recorder.map_or((None, None), |(tap, dumps)| (Some(tap), Some(dumps)));
    let director = Director::new(config.settings.clone(), config.seed);
    let told = own.figures.as_ref().map(|own| {
        let (to, from) = tokio::sync::mpsc::channel(8);
        let length = Micros(own.interval.as_micros() as u64);
        let figures = figures::Figures {
            meter: wingfold_figures::Meter::new(clock.now(), length, &director, &config.names.classes),
            delays: figures::Delays::default(),
            pulse: figures::Pulse::new(&config.settings.zones),
            sinks: Arc::default(),
            shown: figures::Shown::default(),
            to,
            causes,
            name: config.name.clone(),
            reasons: ["form", "range", "name", "turn", "mark"].map(Arc::from),
            listed: 0,
        };
        (figures, from)
    });
    let (figures, intervals) = told.map_or((None, None), |(figures, from)| (Some(figures), Some(from)));
    let collectd = figures_in.map(|(socket, from)| {
        let core = wingfold_figures::collectd::Intake::new(from.users, from.secured, from.map);
        intake::run(socket, core, clock, inbox.clone(), metrics.clone())
    });
    let shown = figures.as_ref().map(|figures| figures.shown.clone());
    let delays = figures.as_ref().map(|figures| figures.delays.clone());
    let pulse = figures.as_ref().map(|figures| figures.pulse.clone()).unwrap_or_default();
    let router = ops::router(metrics.clone(), dumps.clone(), shown);
    let admission = Admission::new(&config, inbox.clone(), metrics.clone(), router, (delays, pulse));
    let admission = Arc::new(admission);
    let discovery = discovery::DiscoveryClient::new(following, inbox.clone(), metrics.clone());
    let prober = health_check::HealthChecker::new(&config.bounds, inbox.clone(), metrics.clone());
    if config.bounds.connections < config.bounds.named {
        let (places, clients) = (config.bounds.connections, config.bounds.named);
        tracing::warn!(places, clients, "key `limits.sockets`: too few for all that may join");
    }
    let (ask, asked) = tokio::sync::mpsc::unbounded_channel();
    let channel = Channel {
        pace: config.settings.send_rate_lines_per_s,
        overhead: config.settings.message_overhead_lines,
        most: config.settings.max_queued_lines,
        ..Channel::default()
    };
    let engine = Engine {
        tables: tables::Tables::new(&config.names.classes),
        director,
        clock,
        discovery: ask,
        prober,
        post: post.clone(),
        addresses: list::EndpointAddresses::default(),
        most_hosts: config.bounds.hosts,
        refusals: log::Seldom::default(),
        channel,
        metrics: metrics.clone(),
        links: Default::default(),
        timers: Default::default(),
        calls: 0,
        tap,
        dumps: dumps.clone(),
        figures,
    };
    if let (Some(from), Some(figures)) = (intervals, &engine.figures) {
        tokio::spawn(sink::run(from, sinks, config.name.clone(), config.seed, figures.sinks.clone()));
    }
    if let Some(known) = config.known {
        inbox.put(inbox::News::List(EndpointListKind::Cached, known));
    }
    tracing::info!(name = config.name, listen = %config.listen, "serving");
    let figures = metrics.clone();
    let report = async {
        loop {
            tokio::time::sleep(FIGURES_EVERY).await;
            figures.log();
        }
    };
    // Tasks of their own, so that one which fails is seen to end and takes the process with it: a director
    // that no longer decides must not go on holding its proxies.
    let ended = tokio::select! {
        () = &mut end => {
            // The capture ends well if the disk lets it, inside the time that a planned restart leaves.
            let well = dumps.as_ref().is_none_or(recorder::Dumps::end);
            if !well {
                tracing::warn!("capture: the disk did not take the end in time");
            }
            return Ok(());
        }
        ended = tokio::spawn(engine.run(intake)) => ended,
        ended = tokio::spawn(discovery.run(asked)) => ended,
        ended = tokio::spawn(accept::serve(listener, admission)) => ended,
        () = or_never(collectd) => Ok(()),
        () = or_never(post.map(|post| async move { post.receive(inbox).await })) => Ok(()),
        () = report => Ok(()),
    };
    Err(RunError::Ended(ended.map_or_else(|error| error.to_string(), |()| "no reason told".into())))
}

/// What a director starts with besides the platform's configuration.
#[derive(Debug, Default)]
pub struct Start {
    /// Own settings.
    pub own: Own,
    /// Where the slowest and the failed of each stage are kept, if they are.
    pub causes: Option<Causes>,
}

/// The whole program: sets up the log, reads the configuration (of the file named here, or else by `GW_CONFIG`), serves.
/// `read_own` reads own settings anew at SIGHUP.
pub fn main(
    file: Option<std::path::PathBuf>,
    own: Own,
    read_own: impl Fn() -> Result<Own, String> + Clone + Send + 'static,
) -> ExitCode {
    let causes = own.figures.as_ref().is_some_and(|figures| figures.causes).then(Causes::default);
    let _log = log::start(&own.log, causes.clone());
    let read = move |first| Config::from_env(file.as_deref(), first);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let start = Start { own, causes };
    let ended = runtime.map_err(RunError::Start).and_then(|runtime| {
        let ended = runtime.block_on(run(start, read, read_own));
        // A thread that hangs on a disk is left behind: waiting for it would hold up the end.
        runtime.shutdown_background();
        ended
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            tracing::error!("{problem}");
            ExitCode::FAILURE
        }
    }
}
