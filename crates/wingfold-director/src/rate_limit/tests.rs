use super::equal_rate_limit;

/// Number of intervals that are simulated for each rate.
const INTERVALS_PER_RATE: usize = 4000;

/// The ratio of requests that a limit admits, by a simulation of Poisson arrivals at each rate.
fn admitted_ratio(rates: &[f64], limit: f64) -> f64 {
    let mut state = 7u64;
    let mut next_random = || {
        state = state.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(0x1405_7B7E_F767_814F);
        (state >> 11) as f64 / (1u64 << 53) as f64
    };
    let mut arrived = 0.0;
    let mut admitted = 0.0;
    // A limit below one request per second admits one request in an interval of `1 / limit` seconds.
    let interval_s = f64::max(1.0, 1.0 / limit);
    for rate in rates {
        for _ in 0..INTERVALS_PER_RATE {
            let mut count = 0.0;
            let no_arrival_probability = (-rate * interval_s).exp();
            let mut product = next_random();
            while product > no_arrival_probability {
                count += 1.0;
                product *= next_random();
            }
            arrived += count;
            admitted += f64::min(count, (limit * interval_s).floor().max(1.0));
        }
    }
    admitted / arrived
}

#[test]
fn equal_rate_limit_admits_intended_ratio_of_poisson_arrivals() {
    for rates in [vec![0.2, 0.4, 0.5, 0.9], vec![3.0, 5.0], vec![20.0, 30.0], vec![0.3, 0.5, 12.0]] {
        let total: f64 = rates.iter().sum();
        for intended in [0.7, 0.85, 0.9] {
            let limit = equal_rate_limit(&rates, intended * total);
            let admitted = admitted_ratio(&rates, limit);
            assert!(
                admitted > intended - 0.05,
                "limit {limit} admits {admitted:.2} of Poisson arrivals at {rates:?}, not {intended}"
            );
        }
    }
    assert_eq!(equal_rate_limit(&[0.0, 0.0], 0.0), 0.5, "smallest limit without requests");
}
