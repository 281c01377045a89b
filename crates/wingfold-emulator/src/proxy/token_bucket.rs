//! A token bucket, which limits the rate of the requests of a class.

use wingfold_director::interface::Timestamp;

/// The tokens of one class; each request takes one. The capacity is the refill of one second, but at least 1
/// token.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a bucket with one token.
    pub fn new() -> TokenBucket {
        TokenBucket { tokens: 1.0, refilled_at: Timestamp(0) }
    }

    /// Refills the bucket at `rate_per_s` and takes a token. Returns whether there was one.
    pub fn take(&mut self, now: Timestamp, rate_per_s: f64) -> bool {
        let refill = rate_per_s * now.since(self.refilled_at);
        self.tokens = (self.tokens + refill).min(rate_per_s.max(1.0));
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
