//! The decision logic of wingfold, a traffic director for a fleet of sidecar proxies.
//!
//! The crate performs no input or output: a caller passes events to a [`Director`] and executes the actions
//! that the director returns. Time comes only from the caller and randomness only from the seed, so the same
//! events always result in the same actions.
//!
//! * [`interface`]: events, actions, settings and their types;
//! * `director`: the order in which decisions are made;
//! * `policy`: the decisions, with one file per concern;
//! * `state`: the records that decisions depend on, and `queries`: sums and selections over the records;
//! * `incremental`: results that are computed again only when their inputs have changed;
//! * [`checkpoint`]: writing and restoring the whole state, and [`inspect`]: views of the state.
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
