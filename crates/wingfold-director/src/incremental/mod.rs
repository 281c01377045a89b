//! Incremental evaluation: results computed from the records are cached until these records change, and steps
//! whose inputs have not changed are skipped.
//!
//! Decisions are taken in `policy`. Cached results are not written to checkpoints: a missing result is
//! computed again in full. A step may be skipped only if running it again with equal inputs, before its due
//! time, would change nothing.

mod expected_shares;
mod host_index;
mod host_rows;
mod join;
mod last_run;
mod memo;
mod steps;
mod table_inputs;

pub(crate) use host_index::*;
pub(crate) use host_rows::*;
pub(crate) use join::*;
pub(crate) use last_run::*;
pub(crate) use memo::*;
pub(crate) use table_inputs::*;
