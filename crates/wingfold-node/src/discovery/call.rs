//! One call to discovery, and the errors with which it can fail.

use crate::http::{CallError, HttpClient};
use crate::list::{EndpointListResponse, UnreadableEntry};
use crate::{log, or_never, stage};
use hyper::StatusCode;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;
use tracing::Instrument;

/// Why a call failed, or why its endpoint list was rejected.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
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
    /// How long discovery is to wait for changes.
    pub wait: Duration,
}

impl CallRequest {
    fn path(&self) -> String {
        match self.after {
            None => "/v1/endpoints".to_string(),
            Some(version) => {
                format!("/v1/endpoints?after={version}&wait_ms={}", self.wait.as_millis())
            }
        }
    }
}

/// A call under way. It makes progress only while its response is awaited, and ends when it is dropped.
pub struct Call {
    response: PendingResponse,
    /// The version after which changes were asked for; `None` for the complete list.
    pub after: Option<u64>,
    wait: Duration,
    /// When the request is sent.
    sent_at: Instant,
    /// Set once the head of the response has arrived.
    response_begun: Arc<AtomicBool>,
}

impl Call {
    /// Prepares a call to the discovery at `address`. The call times out `response_time` after the end of the
    /// requested wait.
    pub fn new(request: CallRequest, http: HttpClient, address: SocketAddr, response_time: Duration) -> Call {
        let response_begun = Arc::new(AtomicBool::new(false));
        let timeout = request.wait + response_time;
        let response = request_list(request, http, address.to_string(), timeout, response_begun.clone());
        Call {
            response: Box::pin(response),
            after: request.after,
            wait: request.wait,
            sent_at: Instant::now() + request.pause,
            response_begun,
        }
    }

    /// The future of the response; it can be polled on after a wait for it was cancelled.
    pub fn response(&mut self) -> &mut PendingResponse {
        &mut self.response
    }

    /// Whether the head of the response has arrived: the changes in the response then count as notified.
    pub fn has_response_begun(&self) -> bool {
        self.response_begun.load(Ordering::Relaxed)
    }

    /// Whether less than half of the wait has passed since the request was sent.
    pub fn was_answered_early(&self) -> bool {
        self.sent_at.elapsed() < self.wait / 2
    }
}

/// Waits for the response to a call; forever where there is no call.
pub async fn wait_for_response(call: &mut Option<Call>) -> CallResult {
    or_never(call.as_mut().map(Call::response)).await
}

/// Pauses, sends the request, reads the response, and records a failure in the span of the stage.
async fn request_list(
    request: CallRequest,
    http: HttpClient,
    address: String,
    timeout: Duration,
    response_begun: Arc<AtomicBool>,
) -> CallResult {
    if request.pause > Duration::ZERO {
        sleep(request.pause).await;
    }
    let stage = stage!("relay", failed = tracing::field::Empty);
    let path = request.path();
    let exchange = exchange(&path, &http, &address, timeout, &response_begun);
    let result = exchange.instrument(stage.clone()).await;
    if let Err(error) = &result {
        stage.record("failed", tracing::field::display(error));
    }
    result
}

/// Sends the request and reads the response.
async fn exchange(
    path: &str,
    http: &HttpClient,
    address: &str,
    timeout: Duration,
    response_begun: &AtomicBool,
) -> CallResult {
    let sent_at = Instant::now();
    let response = http.get_with_progress(address, path, timeout, response_begun).await?;
    tracing::debug!(path, status = %response.status, took = ?sent_at.elapsed(), "discovery responded");
    if response.status != StatusCode::OK {
        return Err(EndpointListError::Status(response.status));
    }
    Ok(EndpointListResponse::read(&response.body)?)
}
