//! A deterministic emulator of a small site: directors with the real decision module, and emulated hosts,
//! proxies, load reports, discovery and faults. Time is virtual and every random number comes from a seed, so
//! a run can be repeated exactly and builds can be compared under the same faults.
//!
//! The emulated site is generic: its hosts do not model particular real machines. Each run measures how close
//! the site came to the limits of the five [`invariants`].
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
