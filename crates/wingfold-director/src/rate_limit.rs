//! Rate limits for requests that arrive as a Poisson process.

/// Smallest rate limit, in requests per second; above it limits are whole numbers.
const MIN_LIMIT_PER_S: f64 = 0.5;
/// Step from which no greater limit is tried: 2^40 requests per second.
const MAX_LIMIT_STEP: u64 = 1 << 40;
/// Rate above which a second's requests vary too little to matter, in requests per second.
const STEADY_RATE_PER_S: f64 = 50.0;
/// Terms of the Poisson distribution that are summed at most: enough up to the steady rate.
const MAX_POISSON_TERMS: i32 = 200;
/// Remaining probability below which further terms don't count.
const NEGLIGIBLE_PROBABILITY: f64 = 1e-9;

/// The least limit per second that, set on each of `rates` alike, admits at least `total` requests per
/// second in all.
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

/// The limits that are considered, in ascending order from step 1 on: 0.5, 1, 2, 3 and so on.
fn limit_at_step(step: u64) -> f64 {
    (step as f64 - 1.0).max(MIN_LIMIT_PER_S)
}

/// Requests per second that `limit` admits in all where it is set on each of `rates`.
fn total_admitted_rate(rates: &[f64], limit: f64) -> f64 {
    rates.iter().map(|rate| expected_admitted_rate(*rate, limit)).sum()
}

/// Requests per second that `limit` admits on average of Poisson arrivals at `rate`. At low rates that is
/// well below both, since a second with two requests is as likely as one with none.
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

/// Mean of the lesser of a Poisson count with mean `rate` and `limit`: the sum of the probabilities that the
/// count exceeds 0, 1, 2 and so on up to the limit.
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
