//! What repeated plays of two programs come to: means with confidence, and differences paired by seed. No
//! I/O.

use std::fmt;

use statrs::distribution::{ContinuousCDF, StudentsT};

/// A mean, and where the true one lies with 95% confidence; without a second value nobody can say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// Of all values.
    pub mean: f64,
    /// Half of the interval's width; none of a single value.
    pub half: Option<f64>,
}

impl Interval {
    /// Of such values; `None` of none.
    pub fn of(values: &[f64]) -> Option<Self> {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count;
        let half = || {
            let freedom = count - 1.0;
            let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / freedom;
            let quantile = StudentsT::new(0.0, 1.0, freedom).ok()?.inverse_cdf(0.975);
            Some(quantile * (variance / count).sqrt())
        };
        (count > 0.0).then(|| Self { mean, half: if count > 1.0 { half() } else { None } })
    }

    /// Zero is outside: there is a difference.
    pub fn differs(&self) -> bool {
        self.half.is_some_and(|half| self.mean.abs() > half)
    }
}

impl fmt::Display for Interval {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.half {
            Some(half) => write!(f, "{:.4} ± {half:.4}", self.mean),
            None => write!(f, "{:.4}", self.mean),
        }
    }
}

/// What is said of a difference, paired by seed: `this` less `other`.
pub fn difference(this: &[f64], other: &[f64]) -> String {
    let pairs: Vec<f64> = this.iter().zip(other).map(|(this, other)| this - other).collect();
    match Interval::of(&pairs) {
        Some(interval) if interval.differs() => format!("{interval}"),
        Some(interval) => format!("no difference shown ({interval})"),
        None => "nothing to compare".to_owned(),
    }
}

#[cfg(test)]
mod tests;
