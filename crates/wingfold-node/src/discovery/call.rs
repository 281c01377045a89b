//! One call to discovery, and why it can fail.

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

/// Why a call brought no endpoint list.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// There is no response.
    #[error("{}", log::sanitize(&.0.to_string()))]
    Call(#[from] CallError),
    /// The response has another status than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The body is no endpoint list.
    #[error("unreadable answer: {}", log::sanitize(&.0.to_string()))]
    Unreadable(#[from] serde_json::Error),
    /// The complete list is older than the cached one.
    #[error("a complete endpoint list of version {version} where {cached} is cached")]
    Older {
        /// The version of the response.
        version: u64,
        /// The version cached.
        cached: u64,
    },
    /// The complete list has no entries, though hosts are known.
    #[error("a complete endpoint list without any endpoint where some are cached")]
    Empty,
    /// Discovery has gone back behind the version that was asked about.
    #[error("changes up to version {version} where those after {after} were asked for")]
    Behind {
        /// The version of the response.
        version: u64,
        /// The version that was asked about.
        after: u64,
    },
    /// Some entries cannot be read.
    #[error("entries that cannot be read: {count}, the first is {}", log::sanitize(&.first.to_string()))]
    Entries {
        /// How many.
        count: usize,
        /// The first of them.
        first: UnreadableEntry,
    },
}

/// The end of a call.
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
    /// Prepares a call to the discovery at `address`, which has `response_time` to respond beyond the requested wait.
    pub fn start(
        request: CallRequest,
        http: HttpClient,
        address: SocketAddr,
        response_time: Duration,
    ) -> Call {
        let response_begun = Arc::new(AtomicBool::new(false));
        let within = request.wait + response_time;
        let response = fetch_list(request, http, address.to_string(), within, response_begun.clone());
        Call {
            response: Box::pin(response),
            after: request.after,
            wait: request.wait,
            sent_at: Instant::now() + request.pause,
            response_begun,
        }
    }

    /// Waits for the response. Dropping this future loses nothing.
    pub fn response(&mut self) -> &mut PendingResponse {
        &mut self.response
    }

    /// Whether the head of the response has arrived: discovery has notified of something then.
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

/// Pauses, sends the request and records a failure in the span of the stage.
async fn fetch_list(
    request: CallRequest,
    http: HttpClient,
    address: String,
    within: Duration,
    response_begun: Arc<AtomicBool>,
) -> CallResult {
    if request.pause > Duration::ZERO {
        sleep(request.pause).await;
    }
    let stage = stage!("relay", failed = tracing::field::Empty);
    let path = request.path();
    let exchange = exchange(&path, &http, &address, within, &response_begun);
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
    within: Duration,
    response_begun: &AtomicBool,
) -> CallResult {
    let sent_at = Instant::now();
    let response = http.get_with_progress(address, path, within, response_begun).await?;
    tracing::debug!(path, status = %response.status, took = ?sent_at.elapsed(), "discovery responded");
    if response.status != StatusCode::OK {
        return Err(EndpointListError::Status(response.status));
    }
    Ok(EndpointListResponse::read(&response.body)?)
}
