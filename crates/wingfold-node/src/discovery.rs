//! The client of discovery: watches the endpoint list, fetches it when the decision module asks for it, and delivers the
//! responses to the engine. A failed call is reported to the decision module, which decides when to retry.
//!
//! Where the settings say that changes are pushed, the module fetches the complete list once and waits for what comes.
//! Discovery pushes nothing by itself, so there the fetch is the first call of a watch.

mod abandoned;
mod call;
mod validation;

use self::abandoned::{AbandonedCall, AbandonedCalls};
use self::call::{wait_for_response, Call, CallRequest, CallResult, EndpointListError};
use self::validation::CachedList;
use crate::config::{Bounds, Config};
use crate::http::HttpClient;
use crate::inbox::{InboundEvent, InboundSender};
use crate::list::{EndpointEntry, EndpointListResponse};
use crate::metrics::Metrics;
use crate::reload;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::yield_now;
use wingfold_director::interface::{EndpointListKind, Event};

/// Commands of the decision module.
#[derive(Debug)]
pub enum DiscoveryCommand {
    /// Watch the endpoint list, or stop.
    SetWatching(bool),
    /// Fetch the complete endpoint list once.
    Fetch,
}

/// Pause before the next call of a watch that was answered without changes long before its wait was over, so that a
/// discovery that does not wait is not polled in a loop. The protocol allows 200 ms between a response and the next call.
const EARLY_ANSWER_PAUSE: Duration = Duration::from_millis(100);

/// What became of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Delivery {
    /// The call failed, or its response was rejected.
    Failed,
    /// A valid response without changes.
    Unchanged,
    /// A valid response with changes.
    Changed,
}

/// The client of discovery: the calls under way and the version of the list that is cached.
pub struct DiscoveryClient {
    config: watch::Receiver<Arc<Config>>,
    address: SocketAddr,
    bounds: Bounds,
    /// Whether the settings say that changes are pushed.
    is_pushed: bool,
    http: HttpClient,
    inbox: InboundSender,
    metrics: Arc<Metrics>,
    cached: CachedList,
    /// The call of the watch that is under way.
    watch: Option<Call>,
    /// The call for the complete list that is under way beside the watch.
    fetch: Option<Call>,
    abandoned: AbandonedCalls,
    /// The first response of a watch is delivered even without changes: the decision module waits for it.
    deliver_unchanged: bool,
}

impl DiscoveryClient {
    /// A client of the discovery that `config` names, now and after reloads. The first configuration also holds the list
    /// as it was cached at the last run.
    pub fn new(config: watch::Receiver<Arc<Config>>, inbox: InboundSender, metrics: Arc<Metrics>) -> Self {
        let first = config.borrow().clone();
        DiscoveryClient {
            config,
            address: first.discovery,
            is_pushed: !first.settings.endpoint_list_on_request,
            http: http_client(&first.bounds),
            cached: CachedList::new(first.cached_list.as_ref()),
            bounds: first.bounds.clone(),
            inbox,
            metrics,
            watch: None,
            fetch: None,
            abandoned: AbandonedCalls::default(),
            deliver_unchanged: true,
        }
    }

    /// Executes commands until their channel is closed. The calls under way are part of this task and end with it.
    pub async fn run(mut self, mut commands: UnboundedReceiver<DiscoveryCommand>) {
        loop {
            tokio::select! {
                config = reload::next_config(&mut self.config) => self.apply_config(&config).await,
                command = commands.recv() => match command {
                    Some(command) => self.execute(command).await,
                    None => return,
                },
                result = wait_for_response(&mut self.watch) => self.handle_watch_result(result),
                result = wait_for_response(&mut self.fetch) => self.handle_fetch_result(result),
                late = self.abandoned.next_response(), if !self.abandoned.is_empty() => {
                    self.deliver_late(late.result, late.cached_version);
                }
            }
        }
    }

    /// Follows a reload that names another address. Calls under way at the old one end without a response, and are no
    /// failures.
    async fn apply_config(&mut self, config: &Config) {
        if config.discovery == self.address {
            return;
        }
        let under_way = [self.watch.take(), self.fetch.take()];
        for call in under_way.into_iter().flatten() {
            self.abandon(call).await;
        }
        self.switch_address(config.discovery);
    }

    /// Uses another address. Nothing of the old one is kept, neither connections nor the version; the decision module is
    /// notified, and polls.
    fn switch_address(&mut self, address: SocketAddr) {
        tracing::info!(from = %self.address, to = %address, "discovery address changed");
        self.address = address;
        self.cached.version = None;
        self.http = http_client(&self.bounds);
        self.metrics.list_moves_total.increment();
        self.inbox.send(InboundEvent::Required(Event::DiscoveryMoved));
    }

    /// Starts the call that a command asks for, in place of the one it replaces.
    async fn execute(&mut self, command: DiscoveryCommand) {
        let replaced = match command {
            DiscoveryCommand::SetWatching(false) => self.watch.take(),
            DiscoveryCommand::SetWatching(true) => {
                // The first call does not wait: what is missing arrives at once, and the calls that wait follow.
                let call = self.start_watch_call(Duration::ZERO, Duration::ZERO);
                self.deliver_unchanged = true;
                self.watch.replace(call)
            }
            DiscoveryCommand::Fetch => {
                let call = self.start_fetch_call();
                self.deliver_unchanged = true;
                let slot = if self.is_pushed { &mut self.watch } else { &mut self.fetch };
                slot.replace(call)
            }
        };
        if let Some(replaced) = replaced {
            self.abandon(replaced).await;
        }
    }

    /// Starts a call for the complete list.
    fn start_fetch_call(&self) -> Call {
        self.start_call(CallRequest { pause: Duration::ZERO, after: None, wait: Duration::ZERO })
    }

    /// Starts a call of the watch after a pause: discovery answers it once there are changes, or when `wait` is over.
    fn start_watch_call(&self, pause: Duration, wait: Duration) -> Call {
        self.start_call(CallRequest { pause, after: self.cached.version_to_watch(), wait })
    }

    fn start_call(&self, request: CallRequest) -> Call {
        self.metrics.list_calls_total.increment();
        Call::start(request, self.http.clone(), self.address, self.bounds.list_response_time)
    }

    /// Handles the end of a call of the watch; after a success the next call follows.
    fn handle_watch_result(&mut self, result: CallResult) {
        let Some(call) = self.watch.take() else { return };
        let deliver_unchanged = std::mem::take(&mut self.deliver_unchanged);
        let delivery = self.deliver(result, call.after, deliver_unchanged);
        if delivery == Delivery::Failed {
            return;
        }
        let is_polling = delivery == Delivery::Unchanged && call.was_answered_early();
        let pause = if is_polling { EARLY_ANSWER_PAUSE } else { Duration::ZERO };
        self.watch = Some(self.start_watch_call(pause, self.bounds.watch_wait));
        // This response includes whatever the abandoned calls could still bring.
        self.abandoned.clear();
    }

    /// Handles the end of a call for the complete list.
    fn handle_fetch_result(&mut self, result: CallResult) {
        self.fetch = None;
        if self.deliver(result, None, true) != Delivery::Failed {
            self.abandoned.clear();
        }
    }

    /// Abandons a call. If its response has arrived it is delivered; if the response has begun it is read to its end,
    /// within the call's timeout: changes that discovery has written count as notified, whoever is asked next.
    async fn abandon(&mut self, mut call: Call) {
        // The task of the connection needs a turn to pass on what has arrived meanwhile.
        for _ in 0..2 {
            yield_now().await;
        }
        let finished = tokio::select! {
            biased;
            result = call.response() => Some(result),
            () = std::future::ready(()) => None,
        };
        let cached_version = self.cached.version;
        match finished {
            Some(result) => self.deliver_late(result, cached_version),
            None if call.has_response_begun() => {
                self.abandoned.push(AbandonedCall { call, cached_version });
            }
            None => {}
        }
    }

    /// Delivers the response to an abandoned call. Its version is not recorded: the next call asks as if this response
    /// had not come.
    fn deliver_late(&self, result: CallResult, cached_version: Option<u64>) {
        let response = match result {
            Ok(response) => response,
            Err(error) => {
                tracing::debug!(%error, "abandoned discovery call failed");
                return;
            }
        };
        // Known: beside an unreadable entry, the versions are not compared.
        if !response.unreadable.is_empty() {
            self.deliver_draining(response);
            return;
        }
        let is_outdated = cached_version.is_some_and(|cached| response.version < cached);
        if is_outdated || response.endpoints.is_empty() {
            return;
        }
        tracing::info!(
            version = response.version,
            complete = response.complete,
            entries = response.endpoints.len(),
            "endpoint list received on an abandoned call"
        );
        self.metrics.list_late_total.increment();
        self.inbox.send(InboundEvent::EndpointList { kind: EndpointListKind::Changes, list: response });
    }

    /// Delivers the result of a call for the changes after version `after`, or for the complete list. A response without
    /// changes is delivered only with `deliver_unchanged`.
    fn deliver(&mut self, result: CallResult, after: Option<u64>, deliver_unchanged: bool) -> Delivery {
        match result.and_then(|response| self.accept(response, after)) {
            Ok(response) => self.deliver_accepted(response, deliver_unchanged),
            Err(error) => {
                tracing::warn!(%error, "discovery call failed");
                self.metrics.list_failures_total.increment();
                self.inbox.send(InboundEvent::Required(Event::EndpointListFailed));
                Delivery::Failed
            }
        }
    }

    /// Checks a response against the cached list. Of one with unreadable entries only the endpoints that drain are
    /// delivered.
    fn accept(&mut self, response: EndpointListResponse, after: Option<u64>) -> CallResult {
        self.cached.check(&response, after)?;
        let Some(first) = response.unreadable.first().cloned() else {
            self.cached.record_accepted(&response);
            return Ok(response);
        };
        let count = response.unreadable.len();
        self.metrics.list_entries_invalid_total.add(count as u64);
        self.deliver_draining(response);
        Err(EndpointListError::Entries { count, first })
    }

    /// Delivers the endpoints of a rejected response that drain or have been removed: a drain must not wait until the
    /// other entries are mended. Everything else of the response is asked for again.
    fn deliver_draining(&self, mut response: EndpointListResponse) {
        response.endpoints.retain(EndpointEntry::is_draining_or_removed);
        if response.endpoints.is_empty() {
            return;
        }
        tracing::info!(
            version = response.version,
            entries = response.endpoints.len(),
            "draining endpoints taken from a rejected endpoint list"
        );
        self.inbox.send(InboundEvent::EndpointList { kind: EndpointListKind::Changes, list: response });
    }

    /// Delivers a response that passed all checks, and records its version.
    fn deliver_accepted(&mut self, response: EndpointListResponse, deliver_unchanged: bool) -> Delivery {
        let cached_version = self.cached.version;
        // Changes that another call's response has overtaken are in the cached list already.
        if !response.complete && cached_version.is_some_and(|cached| response.version < cached) {
            return Delivery::Unchanged;
        }
        self.cached.version = Some(response.version);
        self.metrics.list_version.set(response.version);
        let has_entries = response.complete || !response.endpoints.is_empty();
        let is_new_version = cached_version != Some(response.version);
        if has_entries || deliver_unchanged {
            self.deliver_list(response);
        }
        if has_entries || is_new_version {
            Delivery::Changed
        } else {
            Delivery::Unchanged
        }
    }

    fn deliver_list(&self, response: EndpointListResponse) {
        tracing::info!(
            version = response.version,
            complete = response.complete,
            entries = response.endpoints.len(),
            "endpoint list received"
        );
        let kind = if response.complete { EndpointListKind::Complete } else { EndpointListKind::Changes };
        self.inbox.send(InboundEvent::EndpointList { kind, list: response });
    }
}

/// Calls to discovery reuse their connection.
fn http_client(bounds: &Bounds) -> HttpClient {
    HttpClient::new(bounds.list_response_time, bounds.watch_wait, bounds.max_list_bytes)
}
