//! Exponential moving average.

/// The average after one more value: the value itself if it is the first.
pub(crate) fn moving_average(average: Option<f64>, value: f64, weight: f64) -> f64 {
    average.map_or(value, |average| average + weight * (value - average))
}
