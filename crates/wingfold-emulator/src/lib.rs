//! A deterministic emulator of a small site: directors with the real decision module, and around them hosts, proxies, load
//! reports, discovery and faults. Time is virtual and every random number comes from a seed, so a run can be repeated
//! exactly and builds can be compared on the same faults.
//!
//! The emulator stands in for a site; it is not a model of any real machine. Each run measures how close it came to the
//! limits of the five [`invariants`].
#![forbid(unsafe_code)]

mod attempt;
pub mod estimate;
pub mod experiment;
mod host;
pub mod invariants;
mod proxy;
pub mod report;
pub mod results;
pub mod scenario;
pub mod simulation;

pub use results::RunResult;
pub use scenario::Scenario;
pub use simulation::simulate;
