//! Scale runs: a few real directors, started as processes, among any number of simulated directors, proxies, collectors
//! and hosts, which are tasks of this process. A simulated part speaks its protocol at the true rate and makes no
//! decisions.
//!
//! Nothing of the product depends on this crate.
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
