//! Outgoing HTTP/1.1 requests, sent with hyper-util's client. Each request has a timeout and a limit on the
//! size of the response body, because the server may stop responding or send an oversized body.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::http::uri::InvalidUri;
use hyper::{StatusCode, Uri};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::error::Error;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::timeout;

/// Why a request has no usable response. The stage `relay` records these texts, which `/figures` shows.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Address and path do not form a valid URI.
    #[error("invalid address or path: {0}")]
    InvalidAddress(#[from] InvalidUri),
    /// The connection could not be opened, or broke before the head of the response.
    #[error("connection failed: {}", root_cause(.0))]
    ConnectionFailed(#[from] hyper_util::client::legacy::Error),
    /// The body ended early or exceeded the size limit.
    #[error("response body cannot be read: {0}")]
    BodyFailed(Box<dyn Error + Send + Sync>),
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
        HttpClient { client: builder.build(connector), max_body_bytes }
    }

    /// Sends `GET path` to `address` and reads the whole response, all within `time_limit`.
    pub async fn get(
        &self,
        address: &str,
        path: &str,
        time_limit: Duration,
    ) -> Result<HttpResponse, CallError> {
        self.get_with_progress(address, path, time_limit, &AtomicBool::new(false)).await
    }

    /// Like [`HttpClient::get`]; sets `response_started` once the head of the response has arrived.
    pub async fn get_with_progress(
        &self,
        address: &str,
        path: &str,
        time_limit: Duration,
        response_started: &AtomicBool,
    ) -> Result<HttpResponse, CallError> {
        let uri: Uri = format!("http://{address}{path}").parse()?;
        let request = async {
            let response = self.client.get(uri).await?;
            response_started.store(true, Ordering::Relaxed);
            let status = response.status();
            let body = Limited::new(response.into_body(), self.max_body_bytes);
            let body = body.collect().await.map_err(CallError::BodyFailed)?.to_bytes();
            Ok(HttpResponse { status, body })
        };
        timeout(time_limit, request).await.unwrap_or(Err(CallError::Timeout))
    }
}
