//! The time range of a capture that a command is limited to.

use crate::format::{parse_time, TimeError};
use thiserror::Error;
use wingfold_archive::Archive;
use wingfold_director::interface::Timestamp;

/// A range of time in a capture, including both ends.
#[derive(Clone, Copy, Debug)]
pub struct TimeRange {
    /// The start of the range.
    pub from: Timestamp,
    /// The end of the range.
    pub until: Timestamp,
}

/// Why a time range is invalid.
#[derive(Debug, Error)]
pub enum TimeRangeError {
    /// One end cannot be parsed.
    #[error(transparent)]
    Time(#[from] TimeError),
    /// The end is before the start.
    #[error("the end of the time range (--until) is before its start (--from)")]
    Reversed,
}

impl TimeRange {
    /// Parses both ends. An end that is not given leaves the range unbounded there.
    pub fn parse(archive: &Archive, from: Option<&str>, until: Option<&str>) -> Result<Self, TimeRangeError> {
        let from = parse_time_in(archive, from)?.unwrap_or(Timestamp(0));
        let until = parse_time_in(archive, until)?.unwrap_or(Timestamp(u64::MAX));
        if from > until {
            return Err(TimeRangeError::Reversed);
        }
        Ok(TimeRange { from, until })
    }
}

/// Parses an optional time, which may be relative to the start of the capture.
pub fn parse_time_in(archive: &Archive, text: Option<&str>) -> Result<Option<Timestamp>, TimeError> {
    let start = archive.span().map_or(Timestamp(0), |(first, _)| first);
    text.map(|text| parse_time(text, start)).transpose()
}
