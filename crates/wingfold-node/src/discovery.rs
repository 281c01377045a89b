//! The client of discovery: watches the endpoint list, fetches the complete list on command, and delivers the
//! responses to the engine. A failed call is reported to the decision module, which decides when to retry.
//!
//! Where the settings say that changes are pushed, the decision module commands one fetch and then expects
//! changes without a further command. Discovery sends nothing unasked, so the client treats that fetch as the
//! first call of a watch.

mod call;
mod deadline;
mod delivery;
mod late;
mod validation;

use self::call::{wait_for_outcome, Call, CallOutcome, CallRequest, CallResult, EndpointListError};
use self::deadline::{CallTimeLimits, OverdueReason};
use self::delivery::{Delivery, ListDelivery};
use self::late::{LateCall, LateCallKind, LateCalls, LateResponse};
use crate::config::{Bounds, Config};
use crate::http::HttpClient;
use crate::inbox::{InboundEvent, InboundSender};
use crate::metrics::Metrics;
use crate::reload;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::yield_now;
use wingfold_director::interface::Event;

/// A command of the decision module to the client of discovery.
#[derive(Debug)]
pub enum DiscoveryCommand {
    /// Begin to watch the endpoint list (`true`), or stop watching it.
    SetWatching(bool),
    /// Fetch the complete endpoint list once.
    Fetch,
}

/// Pause before the next call of a watch whose last call was answered early and without changes. It prevents
/// a tight loop of calls to a discovery that does not wait. The protocol allows 200 ms between a response and
/// the next call.
const EARLY_RESPONSE_PAUSE: Duration = Duration::from_millis(100);

/// The client of discovery, with the calls under way.
pub struct DiscoveryClient {
    config: watch::Receiver<Arc<Config>>,
    address: SocketAddr,
    bounds: Bounds,
    /// Whether the settings say that changes are pushed.
    changes_are_pushed: bool,
    http: HttpClient,
    inbox: InboundSender,
    metrics: Arc<Metrics>,
    delivery: ListDelivery,
    /// The call of the watch that is under way.
    watch_call: Option<Call>,
    /// The call for the complete list that is under way beside the watch.
    fetch_call: Option<Call>,
    late: LateCalls,
    /// Whether the watch goes on since the response to an overdue call, although the decision module, which
    /// was told of a failure, has not commanded it again yet.
    resumed_watch: bool,
    /// Whether the next response of the watch is delivered even without changes: the decision module waits
    /// for the first response.
    deliver_unchanged: bool,
}

impl DiscoveryClient {
    /// Creates a client of the discovery whose address `config` holds, now and after reloads. The first
    /// configuration also holds the list that was cached at the last run.
    pub fn new(config: watch::Receiver<Arc<Config>>, inbox: InboundSender, metrics: Arc<Metrics>) -> Self {
        let first = config.borrow().clone();
        DiscoveryClient {
            config,
            address: first.discovery,
            changes_are_pushed: !first.settings.endpoint_list_on_request,
            http: http_client(&first.bounds),
            delivery: ListDelivery::new(first.cached_list.as_ref(), inbox.clone(), metrics.clone()),
            bounds: first.bounds.clone(),
            inbox,
            metrics,
            watch_call: None,
            fetch_call: None,
            late: LateCalls::new(first.bounds.max_list_response_time),
            resumed_watch: false,
            deliver_unchanged: true,
        }
    }

    /// Executes commands until their channel is closed. Calls under way run inside this task and end with it.
    pub async fn run(mut self, mut commands: UnboundedReceiver<DiscoveryCommand>) {
        loop {
            tokio::select! {
                config = reload::next_config(&mut self.config) => self.apply_config(&config).await,
                command = commands.recv() => match command {
                    Some(command) => self.execute(command).await,
                    None => return,
                },
                outcome = wait_for_outcome(&mut self.watch_call) => self.handle_watch_outcome(outcome),
                outcome = wait_for_outcome(&mut self.fetch_call) => self.handle_fetch_outcome(outcome),
                response = self.late.next_response() => self.handle_late_response(response).await,
            }
        }
    }

    /// Applies a reloaded configuration. If it holds another address, the calls to the old address are
    /// abandoned; they do not count as failures.
    async fn apply_config(&mut self, config: &Config) {
        if config.discovery == self.address {
            return;
        }
        let under_way = [self.watch_call.take(), self.fetch_call.take()];
        for call in under_way.into_iter().flatten() {
            self.abandon(call).await;
        }
        self.switch_address(config.discovery);
    }

    /// Switches to another address and drops the connections to the old address and the version of its list.
    /// The decision module is notified, and polls at once.
    fn switch_address(&mut self, address: SocketAddr) {
        self.late.abandon_all();
        self.resumed_watch = false;
        tracing::info!(from = %self.address, to = %address, "discovery address changed");
        self.address = address;
        self.delivery.forget_version();
        self.http = http_client(&self.bounds);
        self.metrics.list_moves_total.increment();
        self.inbox.send(InboundEvent::Required(Event::DiscoveryMoved));
    }

    /// Executes a command: starts the call that it requires, and abandons the call that the new one replaces.
    /// A watch that has resumed by itself serves the command that would have resumed it.
    async fn execute(&mut self, command: DiscoveryCommand) {
        let is_resumed = std::mem::take(&mut self.resumed_watch);
        let replaced = match command {
            DiscoveryCommand::SetWatching(false) => {
                self.late.abandon_all();
                self.watch_call.take()
            }
            DiscoveryCommand::SetWatching(true) | DiscoveryCommand::Fetch if is_resumed => None,
            DiscoveryCommand::SetWatching(true) => {
                // The first call has no wait: missing changes arrive at once. Later calls wait for new
                // changes.
                let start = |client: &Self| client.start_watch_call(Duration::ZERO, Duration::ZERO);
                self.begin_watch(start)
            }
            DiscoveryCommand::Fetch if self.changes_are_pushed => self.begin_watch(Self::start_fetch_call),
            DiscoveryCommand::Fetch => self.begin_fetch(),
        };
        if let Some(replaced) = replaced {
            self.abandon(replaced).await;
        }
    }

    /// Begins to watch with the call that `start` starts, or with an overdue call whose response is arriving
    /// by now. Returns the call of the watch that was under way.
    fn begin_watch(&mut self, start: impl FnOnce(&Self) -> Call) -> Option<Call> {
        let recovered = self.late.take_recovered(LateCallKind::OverdueWatch);
        let call = recovered.unwrap_or_else(|| start(self));
        self.deliver_unchanged = true;
        self.watch_call.replace(call)
    }

    /// Fetches the complete list beside the watch, or waits for an overdue call whose response is arriving by
    /// now. Returns the call for the list that was under way.
    fn begin_fetch(&mut self) -> Option<Call> {
        let recovered = self.late.take_recovered(LateCallKind::OverdueFetch);
        let call = recovered.unwrap_or_else(|| self.start_fetch_call());
        self.fetch_call.replace(call)
    }

    /// Starts a call for the complete list.
    fn start_fetch_call(&self) -> Call {
        self.start_call(CallRequest { pause: Duration::ZERO, after: None, wait: Duration::ZERO })
    }

    /// Starts a call of the watch after a pause. Discovery responds on a change, or when `wait` is over.
    fn start_watch_call(&self, pause: Duration, wait: Duration) -> Call {
        self.start_call(CallRequest { pause, after: self.delivery.version_to_watch(), wait })
    }

    fn start_call(&self, request: CallRequest) -> Call {
        self.metrics.list_calls_total.increment();
        Call::new(request, self.http.clone(), self.address, CallTimeLimits::new(&self.bounds))
    }

    /// Handles the outcome of a call of the watch.
    fn handle_watch_outcome(&mut self, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Finished(result) => self.handle_watch_result(result),
            CallOutcome::Overdue(reason) => {
                let call = self.watch_call.take();
                self.keep_overdue(call, LateCallKind::OverdueWatch, reason);
            }
        }
    }

    /// Handles the outcome of a call for the complete list.
    fn handle_fetch_outcome(&mut self, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Finished(result) => self.handle_fetch_result(result),
            CallOutcome::Overdue(reason) => {
                let call = self.fetch_call.take();
                self.keep_overdue(call, LateCallKind::OverdueFetch, reason);
            }
        }
    }

    /// Reports an overdue call as failed, so that it is repeated, and reads its response on.
    fn keep_overdue(&mut self, call: Option<Call>, kind: LateCallKind, reason: OverdueReason) {
        let Some(call) = call else { return };
        self.report_failure(&reason.into());
        self.late.push(LateCall { call, kind, cached_version: self.delivery.cached_version() });
    }

    /// Handles the end of a call of the watch; after a success, starts the next call of the watch.
    fn handle_watch_result(&mut self, result: CallResult) {
        let Some(call) = self.watch_call.take() else { return };
        let deliver_unchanged = std::mem::take(&mut self.deliver_unchanged);
        let delivery = match self.delivery.deliver(result, call.after, deliver_unchanged) {
            Ok(delivery) => delivery,
            Err(error) => return self.report_failure(&error),
        };
        let needs_pause = delivery == Delivery::Unchanged && call.was_answered_early();
        let pause = if needs_pause { EARLY_RESPONSE_PAUSE } else { Duration::ZERO };
        self.watch_call = Some(self.start_watch_call(pause, self.bounds.watch_wait));
        // This response includes all changes that the responses to late calls could still bring.
        self.late.clear();
    }

    /// Handles the end of a call for the complete list.
    fn handle_fetch_result(&mut self, result: CallResult) {
        self.fetch_call = None;
        match self.delivery.deliver(result, None, true) {
            Ok(_) => self.late.clear(),
            Err(error) => self.report_failure(&error),
        }
    }

    /// Handles the end of a late call.
    async fn handle_late_response(&mut self, LateResponse { result, late }: LateResponse) {
        match late.kind {
            LateCallKind::Abandoned => self.delivery.deliver_abandoned(result, late.cached_version),
            LateCallKind::OverdueFetch => {
                self.deliver_overdue(result, &late.call);
            }
            LateCallKind::OverdueWatch => {
                if self.deliver_overdue(result, &late.call) {
                    self.resume_watch().await;
                }
            }
        }
    }

    /// Delivers the response to an overdue call, as if it had arrived in time, and returns whether it was
    /// accepted. A failure is not reported: the decision module was told of one when the call was overdue.
    fn deliver_overdue(&mut self, result: CallResult, call: &Call) -> bool {
        if let Err(error) = self.delivery.deliver(result, call.after, true) {
            tracing::info!(%error, "overdue discovery call failed");
            return false;
        }
        tracing::info!(took = ?call.sent_at().elapsed(), "overdue discovery call answered");
        self.metrics.list_late_total.increment();
        self.late.drop_before(call);
        true
    }

    /// Continues the watch after the response to an overdue call. The call that repeats it, if it is under
    /// way, is no longer needed.
    async fn resume_watch(&mut self) {
        if self.watch_call.as_ref().is_some_and(Call::waits_for_changes) {
            return;
        }
        match self.watch_call.take() {
            Some(repeated) => self.abandon(repeated).await,
            None => self.resumed_watch = true,
        }
        self.deliver_unchanged = false;
        self.watch_call = Some(self.start_watch_call(Duration::ZERO, self.bounds.watch_wait));
    }

    /// Abandons a call. A response that has arrived is delivered, and a response that has begun to arrive is
    /// read to its end: changes that discovery has written count as notified, even if the next call goes to
    /// another address.
    async fn abandon(&mut self, mut call: Call) {
        // Lets the task of the HTTP connection run, so that it passes on the data that has arrived meanwhile.
        for _ in 0..2 {
            yield_now().await;
        }
        let finished = tokio::select! {
            biased;
            result = call.response() => Some(result),
            () = std::future::ready(()) => None,
        };
        let cached_version = self.delivery.cached_version();
        match finished {
            Some(result) => self.delivery.deliver_abandoned(result, cached_version),
            None if call.has_response_begun() => {
                self.late.push(LateCall { call, kind: LateCallKind::Abandoned, cached_version });
            }
            None => {}
        }
    }

    /// Tells the decision module that a call has failed; the module decides when to repeat it.
    fn report_failure(&mut self, error: &EndpointListError) {
        tracing::warn!(%error, "discovery call failed");
        self.metrics.list_failures_total.increment();
        self.resumed_watch = false;
        self.inbox.send(InboundEvent::Required(Event::EndpointListFailed));
    }
}

/// Creates a client that reuses its connection to discovery for later calls.
fn http_client(bounds: &Bounds) -> HttpClient {
    HttpClient::new(bounds.max_list_response_time, bounds.watch_wait, bounds.max_list_bytes)
}
