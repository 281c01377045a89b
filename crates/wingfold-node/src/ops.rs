//! What operators ask for: `/healthz` and `/metrics`, by axum, on the same listener as the proxies' protocol.

use crate::admission::Admission;
use crate::metrics::Metrics;
use crate::recorder::Dumps;
use crate::reporting::LastInterval;
use axum::extract::State;
use axum::http::{header, HeaderMap, StatusCode};
use axum::response::IntoResponse;
use axum::routing::{get, post};
use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};

/// A request's head holds a few lines; hyper needs so much at least.
const HEAD_BYTES: usize = 8 << 10;

/// The pages; `dumps` only where a capture in memory may be asked for.
pub fn router(metrics: Arc<Metrics>, dumps: Option<Dumps>, shown: Option<LastInterval>) -> Router {
    let pages =
        Router::new().route("/healthz", get(health)).route("/metrics", get(counters)).with_state(metrics);
    let pages = match shown {
        None => pages,
        Some(shown) => pages.merge(Router::new().route("/figures", get(figures)).with_state(shown)),
    };
    match dumps.filter(Dumps::asked) {
        None => pages,
        Some(dumps) => pages.merge(Router::new().route("/capture/dump", post(dump)).with_state(dumps)),
    }
}

/// The last interval and what was slow or failed, for `wingfold figures watch`.
async fn figures(State(shown): State<LastInterval>) -> impl IntoResponse {
    let text = serde_json::to_string(&shown.page()).unwrap_or_default();
    ([(header::CONTENT_TYPE, "application/json")], text)
}

/// Has the capture in memory written out, for those who know the token. It is answered at once: the disk may be slow.
async fn dump(State(dumps): State<Dumps>, headers: HeaderMap) -> (StatusCode, String) {
    let token =
        headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    match token.is_some_and(|token| dumps.admits(token)) {
        false => (StatusCode::UNAUTHORIZED, "the token is missing or wrong\n".into()),
        true => match dumps.write("asked for") {
            Some(folder) => (StatusCode::ACCEPTED, format!("being written to {}\n", folder.display())),
            None => (StatusCode::TOO_MANY_REQUESTS, "written out less than ten seconds ago\n".into()),
        },
    }
}

/// 200 once the decision module has answered for the first time.
async fn health(State(metrics): State<Arc<Metrics>>) -> (StatusCode, &'static str) {
    metrics.requests_http_total.one();
    match metrics.answers_total.get() {
        0 => (StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        _ => (StatusCode::OK, "ok\n"),
    }
}

async fn counters(State(metrics): State<Arc<Metrics>>) -> impl IntoResponse {
    metrics.requests_http_total.one();
    ([(header::CONTENT_TYPE, "text/plain; version=0.0.4")], metrics.text())
}

/// Serves one connection whose first bytes begin a request. It keeps its place among the unidentified connections, and its caller
/// ends it with their deadline.
pub async fn serve(connection: impl AsyncRead + AsyncWrite + Unpin, admission: &Arc<Admission>) {
    let service = TowerToHyperService::new(admission.router.clone());
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(admission.bounds.naming).max_buf_size(HEAD_BYTES);
    if let Err(error) = server.serve_connection(TokioIo::new(connection), service).await {
        tracing::debug!(%error, "HTTP connection ended");
    }
}
