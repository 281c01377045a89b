//! Scale runs: a few real directors, started as processes, in a fleet of simulated directors, proxies,
//! collectors and hosts. The simulated components and the scripted discovery are tasks of this process. A
//! simulated component speaks its protocol at the rate of a real one and makes no decisions.
//!
//! No crate of the product depends on this one; it serves measurements and tests only.
#![forbid(unsafe_code)]

mod baseline;
pub mod cli;
pub mod compare;
pub mod counters;
pub mod delays;
pub mod deployment;
pub mod discovery;
pub mod endpoint_list;
pub mod faults;
pub mod fleet;
pub mod http;
pub mod ladder;
pub mod limits;
pub mod messages;
pub mod plan;
pub mod process_usage;
pub mod real_director;
pub mod report;
pub mod run;
pub mod script;
pub mod simulated;
