//! HTTP routes for operators, served with axum on the listener that proxies and collectors connect to:
//! `/healthz`, `/metrics`, `/figures` and `/capture/dump`.

use crate::admission::Admission;
use crate::metrics::Metrics;
use crate::recorder::CaptureDumper;
use crate::reporting::LastInterval;
use crate::turn_budget::{BudgetAccount, Work};
use axum::extract::State;
use axum::http::{header, HeaderMap, StatusCode};
use axum::response::IntoResponse;
use axum::routing::{get, post};
use axum::Router;
use hyper::server::conn::http1;
use hyper::service::{service_fn, Service};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};

/// Size of the buffer for a request: the least that hyper allows, since a request's head has only a few
/// lines.
const MAX_BUFFER_BYTES: usize = 8 << 10;

/// Creates the routes: `/figures` only if the last interval is kept, `/capture/dump` only if dumps may be
/// requested.
pub fn router(
    metrics: Arc<Metrics>,
    dumper: Option<CaptureDumper>,
    last_interval: Option<LastInterval>,
) -> Router {
    let mut router = Router::new()
        .route("/healthz", get(get_health))
        .route("/metrics", get(get_metrics))
        .with_state(metrics);
    if let Some(last_interval) = last_interval {
        router = router.merge(Router::new().route("/figures", get(get_interval)).with_state(last_interval));
    }
    if let Some(dumper) = dumper.filter(CaptureDumper::accepts_requests) {
        router = router.merge(Router::new().route("/capture/dump", post(post_dump)).with_state(dumper));
    }
    router
}

/// Responds 200 once the decision module has been called for the first time, and 503 before.
async fn get_health(State(metrics): State<Arc<Metrics>>) -> (StatusCode, &'static str) {
    metrics.requests_http_total.increment();
    if metrics.answers_total.get() == 0 {
        (StatusCode::SERVICE_UNAVAILABLE, "starting\n")
    } else {
        (StatusCode::OK, "ok\n")
    }
}

/// Responds with all metrics in the Prometheus text format.
async fn get_metrics(State(metrics): State<Arc<Metrics>>) -> impl IntoResponse {
    metrics.requests_http_total.increment();
    ([(header::CONTENT_TYPE, "text/plain; version=0.0.4")], metrics.text())
}

/// Responds with the last interval and the kept stage runs, for `wingfold metrics watch`.
async fn get_interval(State(last_interval): State<LastInterval>) -> impl IntoResponse {
    let text = serde_json::to_string(&last_interval.page()).unwrap_or_default();
    ([(header::CONTENT_TYPE, "application/json")], text)
}

/// Starts a dump of the capture in memory if the request has the right token. Responds before the dump is
/// written, because the disk may be slow.
async fn post_dump(State(dumper): State<CaptureDumper>, headers: HeaderMap) -> (StatusCode, String) {
    if !bearer_token(&headers).is_some_and(|token| dumper.is_authorized(token)) {
        return (StatusCode::UNAUTHORIZED, "the bearer token is missing or wrong\n".into());
    }
    match dumper.dump("HTTP request") {
        Some(folder) => (StatusCode::ACCEPTED, format!("writing the dump to {}\n", folder.display())),
        None => (StatusCode::TOO_MANY_REQUESTS, "the last dump was less than ten seconds ago\n".into()),
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// Serves one connection whose first bytes begin an HTTP request. The connection keeps its slot among the
/// unidentified ones, and the caller drops this future at their deadline.
pub async fn serve(
    connection: impl AsyncRead + AsyncWrite + Unpin,
    account: &BudgetAccount,
    admission: &Arc<Admission>,
) {
    let router = TowerToHyperService::new(admission.router.clone());
    let service = service_fn(|request| async {
        account.spend(Work::HttpResponse).await;
        router.call(request).await
    });
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new());
    server.header_read_timeout(admission.bounds.identification_timeout);
    server.max_buf_size(MAX_BUFFER_BYTES);
    if let Err(error) = server.serve_connection(TokioIo::new(connection), service).await {
        tracing::debug!(%error, "HTTP connection ended");
    }
}
