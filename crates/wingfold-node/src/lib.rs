//! A wingfold director as a network service that programs can embed. [`Config`] is its configuration; [`run`]
//! serves until SIGTERM or SIGINT, [`serve`] until the future that its caller passes is ready. All decisions
//! are made by `wingfold-director`. This crate takes messages in, admits, routes, sends, relays and books
//! them (docs/architecture.md maps these stages to modules).
#![forbid(unsafe_code)]

mod accept;
mod admission;
mod client;
mod clock;
mod collectd;
mod collector;
mod components;
pub mod config;
mod discovery;
mod engine;
mod error;
mod frame;
mod health_check;
mod http;
mod inbox;
mod incoming;
mod json_scanner;
mod list;
mod log;
mod long_message;
mod message;
mod metrics;
mod ops;
mod outbox;
mod peers;
mod recorder;
mod reload;
mod reporting;
mod run;
mod serve;
mod sink;
mod stage_runs;
mod startup;
mod stream;
mod tables;
mod turn_budget;

pub use config::{Config, Precedence};
pub use error::{RunError, TaskEnd};
pub use recorder::build_id;
pub use run::{main, run};
pub use serve::{serve, StartOptions};
pub use stage_runs::StageRuns;

use std::future::Future;

/// Awaits the future; without one, waits forever. Disables a branch of `select!` whose future is absent.
async fn or_never<T>(future: Option<impl Future<Output = T>>) -> T {
    match future {
        Some(future) => future.await,
        None => std::future::pending().await,
    }
}
