//! Means, largest values and quantiles of the figures of a run.

use super::results::{Latency, Spread};
use hdrhistogram::Histogram;

/// The longest time that a histogram distinguishes from a longer one, us.
const LONGEST_US: u64 = 600_000_000;

impl Spread {
    /// The mean and the largest of some figures; zeros where there are none.
    pub fn of(figures: impl IntoIterator<Item = f64>) -> Spread {
        let (mut count, mut sum, mut most) = (0_u64, 0.0, 0.0);
        for figure in figures {
            count += 1;
            sum += figure;
            most = f64::max(most, figure);
        }
        // A mean that rounding has lifted over the largest figure is that figure.
        Spread { mean: (sum / count.max(1) as f64).min(most), most }
    }
}

impl Latency {
    /// Quantiles of some times in microseconds; `None` where there are none.
    pub fn of_us(times: impl IntoIterator<Item = u64>) -> Option<Latency> {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3).ok()?;
        times.into_iter().for_each(|time| histogram.saturating_record(time.max(1)));
        if histogram.is_empty() {
            return None;
        }
        let most = histogram.max();
        let at = |quantile| histogram.value_at_quantile(quantile).min(most) as f64 / 1000.0;
        Some(Latency {
            count: histogram.len(),
            median_ms: at(0.5),
            p99_ms: at(0.99),
            most_ms: most as f64 / 1000.0,
        })
    }
}
