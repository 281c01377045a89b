//! Scale runs: a few real directors, started as processes, among any number of hollow directors, proxies, collectors
//! and hosts, which are tasks of this process. A hollow part speaks its protocol at the true pace and decides nothing.
//!
//! Nothing of the product depends on this crate.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cli;
pub mod faults;
pub mod limits;
pub mod plan;
