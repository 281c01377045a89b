//! The part of a capture that the command line names by times.

use crate::format::{parse_time, TimeError};
use thiserror::Error;
use wingfold_archive::Archive;
use wingfold_director::interface::Timestamp;

/// A part of a capture; it contains both its ends.
#[derive(Clone, Copy, Debug)]
pub struct TimeRange {
    /// The first time.
    pub from: Timestamp,
    /// The last time.
    pub until: Timestamp,
}

/// Why a part of a capture cannot be used.
#[derive(Debug, Error)]
pub enum TimeRangeError {
    /// One end is no time.
    #[error(transparent)]
    Time(#[from] TimeError),
    /// The last time is before the first.
    #[error("the span ends before it begins")]
    Reversed,
}

impl TimeRange {
    /// Reads both ends; where one is not given, the part has no bound there.
    pub fn parse(archive: &Archive, from: Option<&str>, until: Option<&str>) -> Result<Self, TimeRangeError> {
        let from = parse_time_in(archive, from)?.unwrap_or(Timestamp(0));
        let until = parse_time_in(archive, until)?.unwrap_or(Timestamp(u64::MAX));
        if from > until {
            return Err(TimeRangeError::Reversed);
        }
        Ok(TimeRange { from, until })
    }
}

/// Reads a time, if there is one, which may be relative to the capture's start.
pub fn parse_time_in(archive: &Archive, text: Option<&str>) -> Result<Option<Timestamp>, TimeError> {
    let start = archive.span().map_or(Timestamp(0), |(first, _)| first);
    text.map(|text| parse_time(text, start)).transpose()
}
