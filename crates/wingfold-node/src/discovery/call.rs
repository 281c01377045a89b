//! One call to discovery, and the errors with which it can fail.

use super::deadline::{CallDeadline, CallTimeLimits, OverdueReason};
use crate::http::{CallError, HttpClient, ResponseProgress};
use crate::list::{EndpointListResponse, UnreadableEntry};
use crate::{log, or_never, stage};
use hyper::StatusCode;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout_at};
use tracing::{Instrument, Span};

/// Why a call failed, or why its endpoint list was rejected.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// The call is overdue.
    #[error(transparent)]
    Overdue(#[from] OverdueReason),
    /// The call ended without a complete response.
    #[error("{}", log::sanitize(&.0.to_string()))]
    Call(#[from] CallError),
    /// The response has a status other than 200.
    #[error("response status is {0}, expected 200")]
    Status(StatusCode),
    /// The body is not an endpoint list.
    #[error("response body is not an endpoint list: {}", log::sanitize(&.0.to_string()))]
    UnreadableBody(#[from] serde_json::Error),
    /// The complete list is older than the cached one.
    #[error("complete endpoint list has version {version}, older than the cached version {cached}")]
    Older {
        /// The version of the response.
        version: u64,
        /// The version of the cached list.
        cached: u64,
    },
    /// The complete list has no entries, though endpoints were listed before.
    #[error("complete endpoint list is empty, but endpoints were listed before")]
    Empty,
    /// The version of the changes is older than the version after which changes were asked for.
    #[error(
        "changes have version {version}, older than the version {after} after which changes were requested"
    )]
    Behind {
        /// The version of the response.
        version: u64,
        /// The version after which changes were asked for.
        after: u64,
    },
    /// Some entries cannot be read.
    #[error("endpoint list has {count} unreadable entries, the first is {}", log::sanitize(&.first.to_string()))]
    UnreadableEntries {
        /// The number of unreadable entries.
        count: usize,
        /// The first unreadable entry.
        first: UnreadableEntry,
    },
}

/// The result of a call.
pub type CallResult = Result<EndpointListResponse, EndpointListError>;

type PendingResponse = Pin<Box<dyn Future<Output = CallResult> + Send>>;

/// What a call asks for.
#[derive(Clone, Copy, Debug)]
pub struct CallRequest {
    /// Pause before the request is sent.
    pub pause: Duration,
    /// The version after which changes are asked for; `None` asks for the complete list.
    pub after: Option<u64>,
    /// How long discovery is to wait for changes; it does not wait with the complete list.
    pub wait: Duration,
}

impl CallRequest {
    /// How long discovery waits before it responds.
    fn wait_at_discovery(&self) -> Duration {
        self.after.map_or(Duration::ZERO, |_| self.wait)
    }

    fn path(&self) -> String {
        match self.after {
            None => "/v1/endpoints".to_string(),
            Some(version) => {
                format!("/v1/endpoints?after={version}&wait_ms={}", self.wait.as_millis())
            }
        }
    }
}

/// How the wait for a call ended.
#[derive(Debug)]
pub enum CallOutcome {
    /// The call has ended.
    Finished(CallResult),
    /// The call is overdue. It has not ended: its response may still arrive.
    Overdue(OverdueReason),
}

/// What a call shares with the future of its response.
#[derive(Default)]
struct ExchangeState {
    progress: ResponseProgress,
    /// The span of the stage, set once the request is sent.
    stage: OnceLock<Span>,
}

/// A call under way. It makes progress only while its response is awaited, and ends when it is dropped.
pub struct Call {
    response: PendingResponse,
    /// The version after which changes were asked for; `None` for the complete list.
    pub after: Option<u64>,
    deadline: CallDeadline,
    state: Arc<ExchangeState>,
}

impl Call {
    /// Prepares a call to the discovery at `address`.
    pub fn new(request: CallRequest, http: HttpClient, address: SocketAddr, limits: CallTimeLimits) -> Call {
        let state = Arc::new(ExchangeState::default());
        let response = request_list(request, http, address.to_string(), state.clone());
        let sent_at = Instant::now() + request.pause;
        let wait = request.wait_at_discovery();
        Call {
            response: Box::pin(response),
            after: request.after,
            deadline: CallDeadline { sent_at, wait, limits },
            state,
        }
    }

    /// Waits until the call ends or is overdue. Dropping the future loses no response.
    pub async fn outcome(&mut self) -> CallOutcome {
        loop {
            let overdue_at = self.deadline.overdue_at(self.state.progress.received());
            if let Ok(result) = timeout_at(overdue_at.into(), &mut self.response).await {
                return CallOutcome::Finished(result);
            }
            if let Some(reason) = self.overdue_reason() {
                self.record_failure(&reason);
                return CallOutcome::Overdue(reason);
            }
        }
    }

    /// The future of the response; it can be polled on after a wait for it was cancelled.
    pub fn response(&mut self) -> &mut PendingResponse {
        &mut self.response
    }

    /// When the request is sent.
    pub fn sent_at(&self) -> Instant {
        self.deadline.sent_at
    }

    /// Since when nothing has arrived that was to arrive.
    pub fn silent_since(&self) -> Instant {
        self.deadline.silent_since(self.state.progress.received())
    }

    /// Whether the head of the response has arrived: the changes in the response then count as notified.
    pub fn has_response_begun(&self) -> bool {
        self.state.progress.received().is_some()
    }

    /// Whether discovery was asked to wait for changes.
    pub fn waits_for_changes(&self) -> bool {
        self.deadline.wait > Duration::ZERO
    }

    /// Whether less than half of the wait has passed since the request was sent.
    pub fn was_answered_early(&self) -> bool {
        self.deadline.sent_at.elapsed() < self.deadline.wait / 2
    }

    /// Why the call is overdue at present; `None` if it is not, or no longer because data has arrived.
    pub fn overdue_reason(&self) -> Option<OverdueReason> {
        self.deadline.overdue_reason(self.state.progress.received(), Instant::now())
    }

    /// Records in the span of the stage why the call failed.
    fn record_failure(&self, reason: &OverdueReason) {
        if let Some(stage) = self.state.stage.get() {
            stage.record("failed", tracing::field::display(reason));
        }
    }
}

/// Waits for the outcome of a call; forever where there is no call.
pub async fn wait_for_outcome(call: &mut Option<Call>) -> CallOutcome {
    or_never(call.as_mut().map(Call::outcome)).await
}

/// Pauses, sends the request, reads the response, and records a failure in the span of the stage.
async fn request_list(
    request: CallRequest,
    http: HttpClient,
    address: String,
    state: Arc<ExchangeState>,
) -> CallResult {
    if request.pause > Duration::ZERO {
        sleep(request.pause).await;
    }
    let stage = state.stage.get_or_init(|| stage!("relay", failed = tracing::field::Empty));
    let path = request.path();
    let exchange = exchange(&path, &http, &address, &state.progress);
    let result = exchange.instrument(stage.clone()).await;
    if let Err(error) = &result {
        stage.record("failed", tracing::field::display(error));
    }
    result
}

/// Sends the request and reads the response.
async fn exchange(path: &str, http: &HttpClient, address: &str, progress: &ResponseProgress) -> CallResult {
    let sent_at = Instant::now();
    let response = http.get_with_progress(address, path, progress).await?;
    tracing::debug!(path, status = %response.status, took = ?sent_at.elapsed(), "discovery responded");
    if response.status != StatusCode::OK {
        return Err(EndpointListError::Status(response.status));
    }
    Ok(EndpointListResponse::read(&response.body).await?)
}
