//! The decision logic of wingfold, a traffic director for a fleet of sidecar proxies.
//!
//! The crate does no input or output: a caller hands events to a [`Director`] and carries out the
//! actions it answers with. Time comes only from the caller and randomness only from the seed, so
//! the same events always give the same actions. See [`interface`] for what goes in and out, and
//! [`policy`] for every decision.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cap;
mod channel;
pub mod checkpoint;
mod derived;
mod health;
pub mod inspect;
pub mod interface;
pub mod policy;
mod rank;
mod roster;
mod state;
mod table;

pub use state::Director;
