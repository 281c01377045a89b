//! A small emulator: directors with the real decision module, and around them hosts, proxies, load reports, discovery
//! and faults in virtual time, all from a seed. It checks the five rules itself. It is a stand-in for a site, not a model
//! of any real machine; what it is good for is simulating the same faults again and comparing builds on them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod attempt;
pub mod experiment;
mod host;
mod proxy;
pub mod report;
pub mod results;
pub mod rules;
pub mod scenario;
pub mod simulation;

pub use results::RunResult;
pub use scenario::Scenario;
pub use simulation::simulate;
