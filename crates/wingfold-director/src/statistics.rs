//! Order statistics: medians and other values by rank.

/// The median; for an even number of values, the greater of the two in the middle.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let values: Vec<f64> = values.collect();
    let middle = values.len() / 2;
    value_at_rank(values, middle)
}

/// The `count`th smallest value, or the largest value if there are fewer than `count`.
pub(crate) fn nth_least(values: impl Iterator<Item = f64>, count: usize) -> Option<f64> {
    let values: Vec<f64> = values.collect();
    let rank = values.len().min(count).checked_sub(1)?;
    value_at_rank(values, rank)
}

/// The value at index `rank` in the sorted values, from 0.
fn value_at_rank(mut values: Vec<f64>, rank: usize) -> Option<f64> {
    if rank >= values.len() {
        return None;
    }
    let (_, value, _) = values.select_nth_unstable_by(rank, f64::total_cmp);
    Some(*value)
}
