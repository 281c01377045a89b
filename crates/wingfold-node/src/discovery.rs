//! Relays discovery's list: watches it and fetches it when the module says so, and hands on what it answers. A
//! call that fails is told to the module, which decides when to ask again.
//!
//! Where the settings say that changes are pushed, the module asks for the whole list once and waits for what comes.
//! Discovery pushes nothing by itself, so there the fetch is the first call of a watch.

use crate::config::{Bounds, Config};
use crate::http::{CallError, Http};
use crate::inbox::{InboundEvent, InboundSender};
use crate::list::{Listing, Server, UnreadableEntry};
use crate::metrics::Metrics;
use crate::{log, or_never, reload, stage};
use hyper::StatusCode;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::sleep;
use tracing::Instrument;
use wingfold_director::interface::{EndpointListKind, Event};

/// What the module orders.
#[derive(Debug)]
pub enum Ask {
    /// Watch the list, or stop.
    Watch(bool),
    /// Ask for the whole list once.
    Fetch,
}

/// Why there is no list.
#[derive(Debug, thiserror::Error)]
enum ListError {
    #[error("{}", log::plain(&.0.to_string()))]
    Call(#[from] CallError),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("unreadable answer: {}", log::plain(&.0.to_string()))]
    Unreadable(#[from] serde_json::Error),
    #[error("a whole list of version {0} where {1} is held")]
    Older(u64, u64),
    #[error("a whole list without any host where some are held")]
    Empty,
    #[error("changes up to version {0} where those after {1} were asked for")]
    Behind(u64, u64),
    #[error("entries that cannot be read: {count}, the first is {}", log::plain(&.first.to_string()))]
    Entries { count: usize, first: UnreadableEntry },
}

/// Whole lists older than the one held that are refused in a row. One that comes late would undo the drains told since;
/// a discovery that keeps to it was set up anew, and its list counts.
const OLDER_REFUSED: u32 = 3;

/// A watch that is answered without news long before its time is asked again this much later, so that a discovery that
/// does not wait is not called without a pause. The protocol lets 200 ms pass between an answer and the next call.
const EARLY: Duration = Duration::from_millis(100);

/// Calls to discovery keep their connection from one to the next.
fn client(bounds: &Bounds) -> Http {
    Http::new(bounds.list_answer, bounds.watch, bounds.list_bytes)
}

type Answer = Result<Listing, ListError>;

/// A call under way.
struct Call {
    answer: Pin<Box<dyn Future<Output = Answer> + Send>>,
    /// The version after which changes were asked for; `None` for the whole list.
    after: Option<u64>,
    /// How long discovery was to wait for news.
    wait: Duration,
    begun: Instant,
    /// Set once the head of its answer has come: discovery has told something then.
    answered: Arc<AtomicBool>,
}

/// An answer that had begun when its call was let go of. What discovery has written counts as told, whoever is asked next.
struct Parting {
    call: Call,
    /// The version held when it was let go of.
    held: Option<u64>,
}

/// Calls let go of that are still read: more than one watch and one whole list at a time means that discovery moves again
/// and again, and the oldest are dropped.
const MOST_PARTING: usize = 2;

/// Speaks with discovery.
#[derive(Debug)]
pub struct Discovery {
    config: watch::Receiver<Arc<Config>>,
    address: SocketAddr,
    bounds: Bounds,
    pushed: bool,
    http: Http,
    inbox: InboundSender,
    metrics: Arc<Metrics>,
    version: Option<u64>,
    /// Discovery has gone back behind the version held: the whole list is asked for next.
    anew: bool,
    /// Some host was ever listed.
    listed: bool,
    /// Whole lists refused in a row because they were older.
    older: u32,
}

impl Discovery {
    /// For the discovery of this configuration, which also tells the version of the list remembered, and of those
    /// that follow it.
    pub fn new(config: watch::Receiver<Arc<Config>>, inbox: InboundSender, metrics: Arc<Metrics>) -> Self {
        let first = config.borrow().clone();
        Discovery {
            config,
            address: first.discovery,
            pushed: !first.settings.endpoint_list_on_request,
            http: client(&first.bounds),
            version: first.known.as_ref().map(|list| list.version),
            listed: first.known.as_ref().is_some_and(|list| !list.servers.is_empty()),
            anew: false,
            older: 0,
            bounds: first.bounds.clone(),
            inbox,
            metrics,
        }
    }

    /// Carries out what is asked, for good.
    pub async fn run(mut self, mut asked: UnboundedReceiver<Ask>) {
        let (mut watch, mut fetch): (Option<Call>, Option<Call>) = (None, None);
        let mut parting: Vec<Parting> = Vec::new();
        // The first answer of a watch is told even if nothing changed: the module waits for it.
        let mut first = true;
        loop {
            tokio::select! {
                config = reload::changed(&mut self.config) => if config.discovery != self.address {
                    // What is under way at the old address ends without an answer, and is no failure.
                    for call in [watch.take(), fetch.take()].into_iter().flatten() {
                        self.let_go(call, &mut parting).await;
                    }
                    self.follow(config.discovery);
                },
                ask = asked.recv() => {
                    let Some(ask) = ask else { return };
                    let (place, call) = match ask {
                        Ask::Watch(false) => (&mut watch, None),
                        // It does not wait: what is missing arrives at once, and the calls that wait follow.
                        Ask::Watch(true) => (&mut watch, Some(self.call(true, Duration::ZERO))),
                        Ask::Fetch if self.pushed => (&mut watch, Some(self.call(false, Duration::ZERO))),
                        Ask::Fetch => (&mut fetch, Some(self.call(false, Duration::ZERO))),
                    };
                    first |= call.is_some();
                    if let Some(replaced) = std::mem::replace(place, call) {
                        self.let_go(replaced, &mut parting).await;
                    }
                }
                answer = answer(&mut watch) => {
                    let call = watch.take();
                    let news = self.tell(answer, call.as_ref().and_then(|call| call.after), std::mem::take(&mut first));
                    watch = news.map(|news| {
                        let early = call.is_some_and(|call| call.begun.elapsed() < call.wait / 2);
                        self.call_after(if early && !news { EARLY } else { Duration::ZERO }, true, self.bounds.watch)
                    });
                    if news.is_some() {
                        // What the parting calls could tell is in this answer.
                        parting.clear();
                    }
                }
                answer = answer(&mut fetch) => {
                    fetch = None;
                    if self.tell(answer, None, true).is_some() {
                        parting.clear();
                    }
                }
                (at, answer) = last_words(&mut parting), if !parting.is_empty() => {
                    let held = parting.remove(at).held;
                    self.heard_late(answer, held);
                }
            }
        }
    }

    /// Lets go of a call. One whose answer lies ready or has begun is read to its end, inside its time: what discovery has
    /// written counts as told.
    async fn let_go(&self, call: Call, parting: &mut Vec<Parting>) {
        // What has arrived meanwhile shows once the connection's own task has had a turn.
        for _ in 0..2 {
            yield_now().await;
        }
        let mut call = Some(call);
        let ready = tokio::select! {
            biased;
            ready = answer(&mut call) => Some(ready),
            () = std::future::ready(()) => None,
        };
        match (ready, call) {
            (Some(ready), _) => self.heard_late(ready, self.version),
            (None, Some(call)) if call.answered.load(Ordering::Relaxed) => {
                if parting.len() == MOST_PARTING {
                    parting.remove(0);
                }
                parting.push(Parting { call, held: self.version });
            }
            _ => {}
        }
    }

    /// Hands on what a call told that was let go of. Its version counts for nothing: the next call asks as if this answer
    /// had not come.
    fn heard_late(&self, answer: Answer, held: Option<u64>) {
        match answer {
            Ok(list) if !list.unreadable.is_empty() => self.tell_drains(list),
            Ok(list) if held.is_none_or(|held| list.version >= held) && !list.servers.is_empty() => {
                let entries = list.servers.len();
                tracing::info!(
                    version = list.version,
                    full = list.full,
                    entries,
                    "list, of a call let go of"
                );
                self.metrics.list_late_total.one();
                self.inbox.send(InboundEvent::EndpointList { kind: EndpointListKind::Changes, list });
            }
            Ok(_) => {}
            Err(error) => tracing::debug!(%error, "a call let go of has failed"),
        }
    }

    /// Turns to another address. Nothing of the old one is kept: neither connections nor the version it gave. The
    /// module is told, and asks.
    fn follow(&mut self, address: SocketAddr) {
        tracing::info!(from = %self.address, to = %address, "discovery has moved");
        (self.address, self.version, self.http) = (address, None, client(&self.bounds));
        self.metrics.list_moves_total.one();
        self.inbox.send(InboundEvent::Required(Event::DiscoveryMoved));
    }

    /// Begins a call: for what has changed since the list held, if there is one and it is to be a watch.
    fn call(&self, watch: bool, wait: Duration) -> Call {
        self.call_after(Duration::ZERO, watch, wait)
    }

    /// The same after a pause.
    fn call_after(&self, pause: Duration, watch: bool, wait: Duration) -> Call {
        let after = self.version.filter(|_| watch && !self.anew);
        let page = match after {
            None => "/v1/endpoints".to_string(),
            Some(version) => format!("/v1/endpoints?after={version}&wait_ms={}", wait.as_millis()),
        };
        self.metrics.list_calls_total.one();
        let answered = Arc::new(AtomicBool::new(false));
        let head = answered.clone();
        let (http, address) = (self.http.clone(), self.address.to_string());
        let within = wait + self.bounds.list_answer;
        let answer = Box::pin(async move {
            if pause > Duration::ZERO {
                sleep(pause).await;
            }
            let begun = Instant::now();
            let call = async {
                let (status, body) = http.get_telling(&address, &page, within, &head).await?;
                tracing::debug!(page, %status, took = ?begun.elapsed(), "discovery answered");
                match status {
                    StatusCode::OK => Ok(Listing::read(&body)?),
                    status => Err(ListError::Status(status)),
                }
            };
            let stage = stage!("relay", failed = tracing::field::Empty);
            let answer = call.instrument(stage.clone()).await;
            if let Err(error) = &answer {
                stage.record("failed", tracing::field::display(error));
            }
            answer
        });
        Call { answer, after, wait, begun: Instant::now() + pause, answered }
    }

    /// Guards against a discovery that answers and is wrong: a whole list out of an older time, or one that names
    /// nobody, would empty tables or bring hosts back that drain; and changes up to a version before the one that was asked
    /// about are those of a discovery that has gone back, whose next changes would never come. It counts as a call that failed.
    fn believe(&mut self, list: Listing, after: Option<u64>) -> Answer {
        match (self.version, after) {
            (Some(held), _) if list.full && list.version < held && self.older < OLDER_REFUSED => {
                self.older += 1;
                return Err(ListError::Older(list.version, held));
            }
            _ if list.full && list.servers.is_empty() && self.listed => return Err(ListError::Empty),
            (_, Some(after)) if !list.full && list.version < after => {
                self.anew = true;
                return Err(ListError::Behind(list.version, after));
            }
            _ => {}
        }
        if let Some(error) = unreadable(&list) {
            self.metrics.list_entries_invalid_total.add(list.unreadable.len() as u64);
            self.tell_drains(list);
            return Err(error);
        }
        (self.older, self.listed) = (0, self.listed || !list.servers.is_empty());
        self.anew &= !list.full;
        Ok(list)
    }

    /// Hands on what an answer tells of hosts that drain or are gone, where other entries of it cannot be read: a drain must
    /// not wait until those are mended. All else of it is asked for again.
    fn tell_drains(&self, mut list: Listing) {
        list.servers.retain(Server::leaves);
        if !list.servers.is_empty() {
            tracing::info!(version = list.version, entries = list.servers.len(), "drains, of a list refused");
            self.inbox.send(InboundEvent::EndpointList { kind: EndpointListKind::Changes, list });
        }
    }

    /// Hands an answer to a call for what came after a version on; gives whether it had news, or `None` if the call failed.
    fn tell(&mut self, answer: Answer, after: Option<u64>, always: bool) -> Option<bool> {
        let list = match answer.and_then(|list| self.believe(list, after)) {
            Ok(list) => list,
            Err(error) => {
                tracing::warn!(%error, "discovery: call failed");
                self.metrics.list_failures_total.one();
                self.inbox.send(InboundEvent::Required(Event::EndpointListFailed));
                return None;
            }
        };
        // Changes that an answer of another call has overtaken are in the list already.
        let stale = !list.full && self.version.is_some_and(|held| list.version < held);
        let news = !stale && (list.full || !list.servers.is_empty() || self.version != Some(list.version));
        if !stale {
            self.version = Some(list.version);
            self.metrics.list_version.set(list.version);
            if always || list.full || !list.servers.is_empty() {
                let kind = if list.full { EndpointListKind::Complete } else { EndpointListKind::Changes };
                tracing::info!(
                    version = list.version,
                    full = list.full,
                    entries = list.servers.len(),
                    "list"
                );
                self.inbox.send(InboundEvent::EndpointList { kind, list });
            }
        }
        Some(news)
    }
}

/// What is wrong with an answer of which some entries cannot be read.
fn unreadable(list: &Listing) -> Option<ListError> {
    let first = list.unreadable.first()?.clone();
    Some(ListError::Entries { count: list.unreadable.len(), first })
}

/// Waits for the answer to a call; for good where there is none.
async fn answer(call: &mut Option<Call>) -> Answer {
    or_never(call.as_mut().map(|call| call.answer.as_mut())).await
}

/// Waits for the first answer of several calls.
async fn last_words(parting: &mut [Parting]) -> (usize, Answer) {
    std::future::poll_fn(|context| {
        let ready = parting.iter_mut().enumerate().find_map(|(at, parting)| {
            match parting.call.answer.as_mut().poll(context) {
                Poll::Ready(answer) => Some((at, answer)),
                Poll::Pending => None,
            }
        });
        ready.map_or(Poll::Pending, Poll::Ready)
    })
    .await
}
