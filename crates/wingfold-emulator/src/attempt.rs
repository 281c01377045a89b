//! Identifiers of requests and of their attempts, and how an attempt can end.

/// The number of an admitted request, counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The position among the attempts of the request, counted from 1.
    pub number: u32,
}

/// The result of an attempt as its proxy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered without an error.
    Success,
    /// The connection was refused, so the host certainly did not execute the request.
    Refused,
    /// Answered with an error.
    Error,
    /// Not answered within the attempt's timeout.
    TimedOut,
}
