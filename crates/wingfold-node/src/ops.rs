//! What operators ask for: `/healthz` and `/metrics`, by axum, on the same listener as the proxies' protocol.

use crate::book::Book;
use crate::door::Door;
use axum::extract::State;
use axum::http::{header, StatusCode};
use axum::response::IntoResponse;
use axum::routing::get;
use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};

/// A request's head holds a few lines; hyper needs so much at least.
const HEAD_BYTES: usize = 8 << 10;

/// The pages.
pub fn router(book: Arc<Book>) -> Router {
    Router::new().route("/healthz", get(health)).route("/metrics", get(metrics)).with_state(book)
}

/// 200 once the decision module has answered for the first time.
async fn health(State(book): State<Arc<Book>>) -> (StatusCode, &'static str) {
    book.requests_http_total.one();
    match book.answers_total.get() {
        0 => (StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        _ => (StatusCode::OK, "ok\n"),
    }
}

async fn metrics(State(book): State<Arc<Book>>) -> impl IntoResponse {
    book.requests_http_total.one();
    ([(header::CONTENT_TYPE, "text/plain; version=0.0.4")], book.text())
}

/// Serves one connection whose first bytes begin a request. It keeps its place among the strangers, and its caller
/// ends it with their deadline.
pub async fn serve(connection: impl AsyncRead + AsyncWrite + Unpin, door: &Arc<Door>) {
    let service = TowerToHyperService::new(door.router.clone());
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(door.bounds.naming).max_buf_size(HEAD_BYTES);
    if let Err(error) = server.serve_connection(TokioIo::new(connection), service).await {
        tracing::debug!(%error, "HTTP connection ended");
    }
}
