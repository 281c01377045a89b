//! Scale runs: a few real directors, started as processes, among any number of hollow directors, proxies, collectors
//! and hosts, which are tasks of this process. A hollow part speaks its protocol at the true pace and decides nothing.
//!
//! Nothing of the product depends on this crate.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cli;
pub mod compare;
pub mod counters;
pub mod delays;
pub mod deployment;
pub mod discovery;
pub mod faults;
mod figures;
pub mod fleet;
pub mod hollow;
pub mod http;
pub mod ladder;
pub mod limits;
pub mod list;
pub mod measure;
pub mod messages;
pub mod plan;
pub mod real;
pub mod report;
pub mod run;
pub mod script;
