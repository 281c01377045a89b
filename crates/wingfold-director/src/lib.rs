//! The decision logic of wingfold, a traffic director for a fleet of sidecar proxies.
//!
//! The crate does no input or output: a caller hands events to a [`Director`] and carries out the actions
//! it answers with. Time comes only from the caller and randomness only from the seed, so the same events
//! always give the same actions.
//!
//! * [`interface`]: what goes in and out;
//! * `director`: the order in which decisions are taken;
//! * `policy`: every decision, one concern a file;
//! * `state`: the records that decisions are taken on, and `queries`: sums and selections over them;
//! * `incremental`: results that are worked out again only where their inputs have changed;
//! * [`checkpoint`] and [`inspect`]: the whole state written down, and views of it.
#![forbid(unsafe_code)]

pub mod checkpoint;
mod director;
mod incremental;
pub mod inspect;
pub mod interface;
mod policy;
mod queries;
mod rate_limit;
mod state;
mod statistics;

pub use director::Director;
