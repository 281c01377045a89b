//! A wingfold director as a service on sockets, made to be embedded: [`Config`] is its configuration, [`run`] serves until
//! the process is asked to end, [`serve`] until its caller says so. All decisions are those of `wingfold-director`; here
//! messages are taken in, admitted, routed, sent, relayed and booked (docs/architecture.md maps these stages to modules).
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
mod list;
mod log;
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

pub use config::{Config, Precedence};
pub use error::{RunError, TaskEnd};
pub use recorder::build_id;
pub use run::{main, run};
pub use serve::{serve, StartOptions};
pub use stage_runs::StageRuns;

use std::future::Future;

/// Waits for a future where there is one; forever where there is none.
async fn or_never<T>(future: Option<impl Future<Output = T>>) -> T {
    match future {
        Some(future) => future.await,
        None => std::future::pending().await,
    }
}
