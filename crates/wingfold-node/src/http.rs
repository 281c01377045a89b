//! Outgoing HTTP/1.1 requests, sent with hyper-util's client. Each request has a limit on the size of the
//! response body and either a timeout or a record of its progress, because the server may stop responding or
//! send an oversized body.

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::http::uri::InvalidUri;
use hyper::{StatusCode, Uri};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::error::Error;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Size of the buffer of a connection, which bounds the head of a response; hyper's own limit is 400 KiB.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Why a request has no usable response. The stage `relay` records these texts, which `/figures` shows.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Address and path do not form a valid URI.
    #[error("invalid address or path: {0}")]
    InvalidAddress(#[from] InvalidUri),
    /// The connection could not be opened, or broke before the head of the response.
    #[error("connection failed: {}", root_cause(.0))]
    ConnectionFailed(#[from] hyper_util::client::legacy::Error),
    /// The body ended early.
    #[error("response body cannot be read: {0}")]
    BodyFailed(#[source] hyper::Error),
    /// The body exceeded the size limit.
    #[error("response body cannot be read: length limit exceeded")]
    BodyTooLong,
    /// The timeout expired.
    #[error("no complete response in time")]
    Timeout,
}

/// The innermost error of a chain of sources: "connection refused" says more than the "client error" around
/// it.
fn root_cause(error: &dyn Error) -> String {
    let mut inner = error;
    while let Some(source) = inner.source() {
        inner = source;
    }
    inner.to_string()
}

/// A complete response.
#[derive(Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

/// What has arrived of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Received {
    /// When the head of the response had arrived.
    pub first_at: Instant,
    /// When the head or the latest part of the body arrived.
    pub last_at: Instant,
    /// Longest time between two arrivals.
    pub longest_gap: Duration,
    /// Bytes of the body.
    pub body_bytes: usize,
}

/// Progress of a response, which its reader records and others look at.
#[derive(Debug, Default)]
pub struct ResponseProgress(Mutex<Option<Received>>);

impl ResponseProgress {
    /// What has arrived; `None` before the head of the response.
    pub fn received(&self) -> Option<Received> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the head of the response (no bytes), or a part of its body.
    fn record(&self, body_bytes: usize) {
        let now = Instant::now();
        let mut progress = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let received = progress.get_or_insert(Received {
            first_at: now,
            last_at: now,
            longest_gap: Duration::ZERO,
            body_bytes: 0,
        });
        received.longest_gap = received.longest_gap.max(now - received.last_at);
        received.last_at = now;
        received.body_bytes += body_bytes;
    }
}

/// An HTTP client that keeps one idle connection per host for the next request.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Empty<Bytes>>,
    max_body_bytes: usize,
}

impl HttpClient {
    /// Creates a client that stops connecting after `connect_timeout`, closes connections that have been idle
    /// for `idle_timeout`, and accepts response bodies of up to `max_body_bytes`.
    pub fn new(connect_timeout: Duration, idle_timeout: Duration, max_body_bytes: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new());
        builder.pool_idle_timeout(idle_timeout);
        builder.pool_max_idle_per_host(1);
        builder.http1_max_buf_size(MAX_BUFFER_BYTES);
        HttpClient { client: builder.build(connector), max_body_bytes }
    }

    /// Sends `GET path` to `address` and reads the whole response, all within `time_limit`.
    pub async fn get(
        &self,
        address: &str,
        path: &str,
        time_limit: Duration,
    ) -> Result<HttpResponse, CallError> {
        let progress = ResponseProgress::default();
        let request = self.get_with_progress(address, path, &progress);
        timeout(time_limit, request).await.unwrap_or(Err(CallError::Timeout))
    }

    /// Like [`HttpClient::get`], but without a limit of time: the caller looks at `progress` and drops the
    /// future when it has waited long enough.
    pub async fn get_with_progress(
        &self,
        address: &str,
        path: &str,
        progress: &ResponseProgress,
    ) -> Result<HttpResponse, CallError> {
        let uri: Uri = format!("http://{address}{path}").parse()?;
        let response = self.client.get(uri).await?;
        progress.record(0);
        let status = response.status();
        let body = self.read_body(response.into_body(), progress).await?;
        Ok(HttpResponse { status, body })
    }

    /// Reads a body into one buffer. Its parts are not collected first: a part may be a single byte.
    async fn read_body(&self, mut body: Incoming, progress: &ResponseProgress) -> Result<Bytes, CallError> {
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(CallError::BodyFailed)?;
            let Some(data) = frame.data_ref() else { continue };
            progress.record(data.len());
            if bytes.len() + data.len() > self.max_body_bytes {
                return Err(CallError::BodyTooLong);
            }
            bytes.extend_from_slice(data);
        }
        Ok(bytes.freeze())
    }
}
