//! Relays discovery's list: watches it and fetches it when the module says so, and hands on what it answers. A
//! call that fails is told to the module, which decides when to ask again.
//!
//! Where the settings say that changes are pushed, the module asks for the whole list once and waits for what comes.
//! Discovery pushes nothing by itself, so there the fetch is the first call of a watch.

use crate::book::Book;
use crate::config::{Bounds, Config};
use crate::http::{CallError, Http};
use crate::inbox::{Inbox, News};
use crate::list::Listing;
use crate::{log, or_never, reload, stage};
use hyper::StatusCode;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tracing::Instrument;
use wingfold_director::interface::{Event, ListKind};

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
}

/// Whole lists older than the one held that are refused in a row. One that comes late would undo the drains told since;
/// a discovery that keeps to it was set up anew, and its list counts.
const OLDER_REFUSED: u32 = 3;

/// Calls to discovery keep their connection from one to the next.
fn client(bounds: &Bounds) -> Http {
    Http::new(bounds.connect, bounds.watch, bounds.list_bytes)
}

type Answer = Result<Listing, ListError>;
type Call = Pin<Box<dyn Future<Output = Answer> + Send>>;

/// Speaks with discovery.
#[derive(Debug)]
pub struct Discovery {
    config: watch::Receiver<Arc<Config>>,
    address: SocketAddr,
    bounds: Bounds,
    pushed: bool,
    http: Http,
    inbox: Inbox,
    book: Arc<Book>,
    version: Option<u64>,
    /// Some host was ever listed.
    listed: bool,
    /// Whole lists refused in a row because they were older.
    older: u32,
}

impl Discovery {
    /// For the discovery of this configuration, which also tells the version of the list remembered, and of those
    /// that follow it.
    pub fn new(config: watch::Receiver<Arc<Config>>, inbox: Inbox, book: Arc<Book>) -> Self {
        let first = config.borrow().clone();
        Discovery {
            config,
            address: first.discovery,
            pushed: !first.settings.list_on_request,
            http: client(&first.bounds),
            version: first.known.as_ref().map(|list| list.version),
            listed: first.known.as_ref().is_some_and(|list| !list.servers.is_empty()),
            older: 0,
            bounds: first.bounds.clone(),
            inbox,
            book,
        }
    }

    /// Carries out what is asked, for good.
    pub async fn run(mut self, mut asked: UnboundedReceiver<Ask>) {
        let (mut watch, mut fetch): (Option<Call>, Option<Call>) = (None, None);
        // The first answer of a watch is told even if nothing changed: the module waits for it.
        let mut first = true;
        loop {
            tokio::select! {
                config = reload::changed(&mut self.config) => if config.discovery != self.address {
                    // What is under way at the old address ends without an answer, and is no failure.
                    (watch, fetch) = (None, None);
                    self.follow(config.discovery);
                },
                ask = asked.recv() => match ask {
                    None => return,
                    Some(Ask::Watch(false)) => watch = None,
                    // It does not wait: what is missing arrives at once, and the calls that wait follow.
                    Some(Ask::Watch(true)) => (first, watch) = (true, Some(self.call(true, Duration::ZERO))),
                    Some(Ask::Fetch) if self.pushed => {
                        (first, watch) = (true, Some(self.call(false, Duration::ZERO)));
                    }
                    Some(Ask::Fetch) => fetch = Some(self.call(false, Duration::ZERO)),
                },
                answer = or_never(watch.as_mut()) => {
                    let told = self.tell(answer, std::mem::take(&mut first));
                    watch = told.then(|| self.call(true, self.bounds.watch));
                }
                answer = or_never(fetch.as_mut()) => {
                    self.tell(answer, true);
                    fetch = None;
                }
            }
        }
    }

    /// Turns to another address. Nothing of the old one is kept: neither connections nor the version it gave. The
    /// module is told, and asks.
    fn follow(&mut self, address: SocketAddr) {
        tracing::info!(from = %self.address, to = %address, "discovery has moved");
        (self.address, self.version, self.http) = (address, None, client(&self.bounds));
        self.book.list_moves_total.one();
        self.inbox.put(News::Told(Event::ListMoved));
    }

    /// Begins a call: for what has changed since the list held, if there is one and it is to be a watch.
    fn call(&self, watch: bool, wait: Duration) -> Call {
        let page = match self.version.filter(|_| watch) {
            None => "/v1/endpoints".to_string(),
            Some(version) => format!("/v1/endpoints?after={version}&wait_ms={}", wait.as_millis()),
        };
        self.book.list_calls_total.one();
        let (http, address) = (self.http.clone(), self.address.to_string());
        let within = wait + self.bounds.list_answer;
        Box::pin(async move {
            let begun = Instant::now();
            let call = async {
                let (status, body) = http.get(&address, &page, within).await?;
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
        })
    }

    /// Guards against a discovery that answers and is wrong: a whole list out of an older time, or one that names
    /// nobody, would empty tables or bring hosts back that drain. It counts as a call that failed.
    fn believe(&mut self, list: Listing) -> Answer {
        match self.version {
            Some(held) if list.full && list.version < held && self.older < OLDER_REFUSED => {
                self.older += 1;
                return Err(ListError::Older(list.version, held));
            }
            _ if list.full && list.servers.is_empty() && self.listed => return Err(ListError::Empty),
            _ => {}
        }
        (self.older, self.listed) = (0, self.listed || !list.servers.is_empty());
        Ok(list)
    }

    /// Hands an answer on; false if the call failed.
    fn tell(&mut self, answer: Answer, always: bool) -> bool {
        let list = match answer.and_then(|list| self.believe(list)) {
            Ok(list) => list,
            Err(error) => {
                tracing::warn!(%error, "discovery: call failed");
                self.book.list_failures_total.one();
                self.inbox.put(News::Told(Event::ListFailed));
                return false;
            }
        };
        // Changes that an answer of another call has overtaken are in the list already.
        let stale = !list.full && self.version.is_some_and(|held| list.version < held);
        if !stale {
            self.version = Some(list.version);
            self.book.list_version.set(list.version);
            if always || list.full || !list.servers.is_empty() {
                let kind = if list.full { ListKind::Whole } else { ListKind::Changes };
                tracing::info!(
                    version = list.version,
                    full = list.full,
                    entries = list.servers.len(),
                    "list"
                );
                self.inbox.put(News::List(kind, list));
            }
        }
        true
    }
}
