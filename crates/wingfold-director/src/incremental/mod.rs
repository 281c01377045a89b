//! Results computed from the records and cached until the records that they were computed from change.
//!
//! Nothing is decided here and none of it is written to a checkpoint: a result that is missing is computed
//! again, in full. A step that is run again for equal inputs, before its due time, must change nothing; then
//! it may be skipped.

mod expected_shares;
mod host_index;
mod host_rows;
mod join;
mod memo;
mod steps;
mod table_inputs;
mod up_to_date;

pub(crate) use host_index::*;
pub(crate) use host_rows::*;
pub(crate) use join::*;
pub(crate) use memo::*;
pub(crate) use table_inputs::*;
pub(crate) use up_to_date::*;
