//! Identifiers of requests and of their attempts, and how an attempt can end.

/// The number of an admitted request, counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// 1 for the first attempt of the request.
    pub number: u32,
}

/// The result of an attempt as its proxy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered without an error.
    Success,
    /// The connection was refused, so the request was certainly not executed.
    Refused,
    /// Answered with an error.
    Error,
    /// Not answered within the attempt's timeout.
    TimedOut,
}
