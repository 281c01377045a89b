//! Requests and their attempts, by number.

/// The number of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// 1 for its first attempt.
    pub number: u32,
}

/// How an attempt ended, as its proxy knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered well.
    Success,
    /// Refused: it surely never ran.
    Refused,
    /// Answered with an error.
    Error,
    /// Not answered in time.
    TimedOut,
}
