//! What a series must keep, as a ratio of figures of one run.

use crate::series::{Series, LEAST_POINTS};

/// Of a core, percent: what a scheduler may spend on control. The operators' budget.
pub const CONTROL_CORE_PERCENT: f64 = 1.9;
/// What a scheduler may hold for control. The operators' budget, 128 MB.
pub const CONTROL_MEMORY_BYTES: f64 = 128.0 * 1024.0 * 1024.0;
/// What control may send to a scheduler each second. The operators' budget, 6 KB.
pub const CONTROL_BYTES_PER_SECOND: f64 = 6.0 * 1024.0;
/// An arrival before the full list costs at most so many times one before [`ARRIVAL_FROM`] nodes. The target
/// that the scale tests were set.
pub const ARRIVAL_GROWTH: f64 = 3.0;
/// Length of the list that [`ARRIVAL_GROWTH`] counts from.
pub const ARRIVAL_FROM: f64 = 100.0;

/// A change of the list costs no more than its own entries and the logarithm of the length: the target that
/// the scale tests were set. `ln 5100 / ln 100`, over [`CHANGE_FROM`].
pub const CHANGE_GROWTH: f64 = 1.853;
/// Length of the list that [`CHANGE_GROWTH`] counts from.
pub const CHANGE_FROM: f64 = 100.0;
/// Of an arrival, pinned or free, before warm or cold nodes.
pub const ARRIVAL: Bound = Bound::Growth { from: ARRIVAL_FROM, at_most: ARRIVAL_GROWTH };
/// Of a line with one entry.
pub const CHANGE: Bound = Bound::Growth { from: CHANGE_FROM, at_most: CHANGE_GROWTH };

/// What a series must keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// The value at the full size is within a budget, in the unit of the series.
    Budget(f64),
    /// The largest value measured is within a limit, in the unit of the series, that holds at every size.
    Limit(f64),
    /// The least value measured is no less than a limit, in the unit of the series, that holds at every size.
    AtLeast(f64),
    /// Each further unit of size costs at most so much, in the unit of the series, from a smaller size on to
    /// the largest.
    Marginal {
        /// The smaller size.
        from: f64,
        /// The most that it may cost.
        at_most: f64,
    },
    /// The value at the largest size is at most so many times the one at a smaller size.
    Growth {
        /// The smaller size.
        from: f64,
        /// The most that the ratio may be.
        at_most: f64,
    },
    /// The value for each unit of size, at the largest size, is at most so many times that at a smaller size.
    PerUnit {
        /// The smaller size.
        from: f64,
        /// The most that the ratio may be.
        at_most: f64,
    },
}

/// A series beside its bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Check {
    /// The series and how it was judged: `process-resident-idle-of-budget`; also how far an extrapolated
    /// figure reaches.
    pub what: String,
    /// The figure.
    pub ratio: f64,
    /// Its bound.
    pub at_most: f64,
}

impl Check {
    /// Whether the bound holds. A ratio that is no number keeps none.
    pub fn holds(&self) -> bool {
        self.ratio <= self.at_most
    }
}

impl Bound {
    /// Judges a series. Without the figures that this needs, the ratio is no number.
    pub fn check(self, series: &Series) -> Check {
        let (name, largest) = (&series.name, series.largest());
        let growth = |from| Some(series.at(largest)? / series.at(from)?);
        match self {
            Self::Budget(budget) => {
                let reach = if series.is_extrapolated() {
                    format!("-extrapolated-by-{:.1}", series.reach())
                } else {
                    String::new()
                };
                let ratio = series.at_full_size().map_or(f64::NAN, |value| value / budget);
                Check { what: format!("{name}-of-budget{reach}"), ratio, at_most: 1.0 }
            }
            Self::Limit(limit) => {
                let most = series.points.iter().map(|(_, value)| *value).reduce(f64::max);
                let ratio = most.map_or(f64::NAN, |most| most / limit);
                Check { what: format!("{name}-largest-of-limit"), ratio, at_most: 1.0 }
            }
            Self::AtLeast(limit) => {
                let least = series.points.iter().map(|(_, value)| *value).reduce(f64::min);
                let ratio = least.map_or(f64::NAN, |least| limit / least);
                Check { what: format!("{name}-limit-of-least"), ratio, at_most: 1.0 }
            }
            Self::Marginal { from, at_most } => {
                let further = || Some((series.at(largest)? - series.at(from)?) / (largest - from));
                let what = format!("{name}-each-from-{from}-to-{largest}");
                Check { what, ratio: further().unwrap_or(f64::NAN), at_most }
            }
            Self::Growth { from, at_most } => {
                let what = format!("{name}-at-{largest}-against-{from}");
                Check { what, ratio: growth(from).unwrap_or(f64::NAN), at_most }
            }
            Self::PerUnit { from, at_most } => {
                let what = format!("{name}-each-at-{largest}-against-{from}");
                let ratio = growth(from).map_or(f64::NAN, |growth| growth * from / largest);
                Check { what, ratio, at_most }
            }
        }
    }
}

/// Bounds by the name of the series.
pub type Bounds = [(&'static str, Bound)];

/// Judges each series by each of its bounds.
///
/// # Errors
/// Names a series that has none.
pub fn check_all(all: &[Series], bounds: &Bounds) -> Result<Vec<Check>, String> {
    let mut checks = Vec::new();
    for series in all {
        let known = checks.len();
        let own = bounds.iter().filter(|(name, _)| *name == series.name);
        checks.extend(own.map(|(_, bound)| bound.check(series)));
        if checks.len() == known {
            return Err(format!("{}: no bound", series.name));
        }
    }
    Ok(checks)
}

/// The bounds that are exceeded, over series that each have enough sizes to tell a slope.
///
/// # Errors
/// Names a series that has no bound, or fewer than [`LEAST_POINTS`] points.
pub fn exceeded(all: &[Series], bounds: &Bounds) -> Result<Vec<Check>, String> {
    if let Some(short) = all.iter().find(|series| series.points.len() < LEAST_POINTS) {
        return Err(format!("{}: {} points; {LEAST_POINTS} are needed", short.name, short.points.len()));
    }
    let checks = check_all(all, bounds)?;
    Ok(checks.into_iter().filter(|check| !check.holds()).collect())
}
