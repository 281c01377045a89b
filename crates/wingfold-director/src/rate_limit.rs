//! Rate limits for requests that arrive as a Poisson process.

/// Smallest rate limit, in requests per second. All other limits are whole numbers.
const MIN_LIMIT_PER_S: f64 = 0.5;
/// Step at which the search for a limit stops; it stands for about 2^40 requests per second.
const MAX_LIMIT_STEP: u64 = 1 << 40;
/// Rate above which the number of requests varies too little from second to second to matter, in requests per
/// second.
const STEADY_RATE_PER_S: f64 = 50.0;
/// Largest number of terms of the Poisson distribution that are summed: enough for rates up to
/// [`STEADY_RATE_PER_S`].
const MAX_POISSON_TERMS: i32 = 200;
/// Remaining probability below which further terms of the Poisson distribution are left out.
const NEGLIGIBLE_PROBABILITY: f64 = 1e-9;

/// The least rate limit that admits at least `total` requests per second in all, if each stream of requests
/// that arrives at one of `rates` has this limit.
pub(crate) fn equal_rate_limit(rates: &[f64], total: f64) -> f64 {
    let is_enough = |step: u64| total_admitted_rate(rates, limit_at_step(step)) >= total;
    let mut enough = 1;
    while !is_enough(enough) && enough < MAX_LIMIT_STEP {
        enough *= 2;
    }
    let mut too_small = enough / 2;
    while enough - too_small > 1 {
        let middle = (too_small + enough) / 2;
        if is_enough(middle) {
            enough = middle;
        } else {
            too_small = middle;
        }
    }
    limit_at_step(enough)
}

/// The limit at a step of the search, in requests per second: 0.5, 1, 2, 3 and so on from step 1.
fn limit_at_step(step: u64) -> f64 {
    (step as f64 - 1.0).max(MIN_LIMIT_PER_S)
}

/// Requests per second that are admitted in all if `limit` applies to each of `rates`.
fn total_admitted_rate(rates: &[f64], limit: f64) -> f64 {
    rates.iter().map(|rate| expected_admitted_rate(*rate, limit)).sum()
}

/// Requests per second that `limit` admits on average of Poisson arrivals at `rate`. At low rates the average
/// is well below both, since some seconds have more requests than the limit and others have none.
fn expected_admitted_rate(rate: f64, limit: f64) -> f64 {
    if rate <= 0.0 || limit <= 0.0 {
        return 0.0;
    }
    if limit < 1.0 {
        return limit * (1.0 - (-rate / limit).exp());
    }
    if rate > STEADY_RATE_PER_S {
        return rate.min(limit);
    }
    mean_of_limited_poisson_count(rate, limit)
}

/// Mean of the smaller of `limit` and a Poisson count with mean `rate`. It is the sum of the probabilities
/// that the count exceeds 0, 1, 2 and so on up to the limit.
fn mean_of_limited_poisson_count(rate: f64, limit: f64) -> f64 {
    let mut probability_of_count = (-rate).exp();
    let mut probability_of_more = 1.0;
    let mut admitted = 0.0;
    for count in 0..MAX_POISSON_TERMS {
        probability_of_more -= probability_of_count;
        admitted += probability_of_more.max(0.0) * (limit - f64::from(count)).clamp(0.0, 1.0);
        probability_of_count *= rate / f64::from(count + 1);
        if f64::from(count) >= limit || probability_of_more < NEGLIGIBLE_PROBABILITY {
            break;
        }
    }
    admitted
}

#[cfg(test)]
mod tests;
