//! A cost measured at several sizes, and how it grows with them.

use std::io::Write;

use linregress::{FormulaRegressionBuilder, RegressionDataBuilder};

/// A cost measured at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Its name, unique among all series: `decision-pinned-warm`.
    pub name: String,
    /// What the size counts: `nodes`, `schedulers`, `connections`.
    pub size_of: String,
    /// Unit of the values: `us`, `bytes`.
    pub unit: String,
    /// The size that a fleet in service is planned to have.
    pub full_size: f64,
    /// Size and value of each measurement, in the order of measurement.
    pub points: Vec<(f64, f64)>,
}

/// How a series grows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value at size 0, by the least squares line through all points.
    pub intercept: f64,
    /// Value for each further unit of size, by the same line.
    pub slope: f64,
    /// Root of the mean square of what the line misses, over the mean value.
    pub residual: f64,
    /// Exponent by which the value grows with the size: 0 constant, 1 linear. `None` where a value is not
    /// above zero, so that it has no logarithm.
    pub power: Option<f64>,
}

impl Fit {
    /// The power with two decimals, and never a zero with a sign.
    pub fn power_text(&self) -> Option<String> {
        self.power.map(|power| format!("{:.2}", (power * 100.0).round() / 100.0 + 0.0))
    }
}

/// Why a series has no fit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FitError {
    /// Fewer than [`LEAST_POINTS`] different sizes.
    TooFewSizes(usize),
    /// The regression did not take the values.
    Regression(String),
}

impl std::fmt::Display for FitError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooFewSizes(found) => write!(f, "{found} sizes; {LEAST_POINTS} are needed for a fit"),
            Self::Regression(why) => write!(f, "regression: {why}"),
        }
    }
}

impl std::error::Error for FitError {}

/// A slope is told by no fewer sizes.
pub const LEAST_POINTS: usize = 4;

impl Series {
    /// A series without a measurement yet.
    pub fn new(name: &str, size_of: &str, unit: &str, full_size: f64) -> Self {
        let (name, size_of, unit) = (name.to_owned(), size_of.to_owned(), unit.to_owned());
        Self { name, size_of, unit, full_size, points: Vec::new() }
    }

    /// Adds one measurement.
    pub fn push(&mut self, size: f64, value: f64) {
        self.points.push((size, value));
    }

    /// The largest size that was measured; 0 without one.
    pub fn largest(&self) -> f64 {
        self.points.iter().map(|(size, _)| *size).fold(0.0, f64::max)
    }

    /// The mean of what was measured at that size; `None` where nothing was.
    pub fn at(&self, size: f64) -> Option<f64> {
        let there: Vec<f64> =
            self.points.iter().filter(|(at, _)| *at == size).map(|(_, value)| *value).collect();
        (!there.is_empty()).then(|| there.iter().sum::<f64>() / there.len() as f64)
    }

    /// Whether the full size lies beyond the largest one measured, so that its value comes from the line.
    pub fn is_extrapolated(&self) -> bool {
        self.full_size > self.largest()
    }

    /// How far the full size lies beyond the largest one measured: 1 where that was reached.
    pub fn reach(&self) -> f64 {
        (self.full_size / self.largest()).max(1.0)
    }

    /// The value at the full size: measured where there is a measurement, between its neighbours where larger
    /// sizes were measured, else by the line.
    ///
    /// # Errors
    /// Where it was not reached and there is no fit.
    pub fn at_full_size(&self) -> Result<f64, FitError> {
        if let Some(measured) = self.at(self.full_size) {
            return Ok(measured);
        }
        if let Some(between) = self.between_neighbours(self.full_size) {
            return Ok(between);
        }
        let fit = self.fit()?;
        Ok(fit.intercept + fit.slope * self.full_size)
    }

    /// On the straight line between the next smaller and the next larger size measured.
    fn between_neighbours(&self, size: f64) -> Option<f64> {
        let sizes = || self.points.iter().map(|(at, _)| *at);
        let below = sizes().filter(|at| *at < size).max_by(f64::total_cmp)?;
        let above = sizes().filter(|at| *at > size).min_by(f64::total_cmp)?;
        let (low, high) = (self.at(below)?, self.at(above)?);
        Some(low + (high - low) * (size - below) / (above - below))
    }

    /// How it grows.
    ///
    /// # Errors
    /// With fewer than [`LEAST_POINTS`] sizes, or values that no line goes through.
    pub fn fit(&self) -> Result<Fit, FitError> {
        let mut sizes: Vec<f64> = self.points.iter().map(|(size, _)| *size).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        if sizes.len() < LEAST_POINTS {
            return Err(FitError::TooFewSizes(sizes.len()));
        }
        let (intercept, slope) = line(&self.points)?;
        let missed = self.points.iter().map(|(size, value)| (value - intercept - slope * size).powi(2));
        let mean = self.points.iter().map(|(_, value)| value).sum::<f64>() / self.points.len() as f64;
        let residual =
            (missed.sum::<f64>() / self.points.len() as f64).sqrt() / mean.abs().max(f64::MIN_POSITIVE);
        let logarithms: Option<Vec<(f64, f64)>> = self
            .points
            .iter()
            .map(|(size, value)| (*size > 0.0 && *value > 0.0).then(|| (size.ln(), value.ln())))
            .collect();
        let power = logarithms.map(|points| line(&points)).transpose()?.map(|(_, power)| power);
        Ok(Fit { intercept, slope, residual, power })
    }
}

/// Intercept and slope of the least squares line.
fn line(points: &[(f64, f64)]) -> Result<(f64, f64), FitError> {
    let of_regression = |why: linregress::Error| FitError::Regression(why.to_string());
    let (sizes, values) = points.iter().copied().unzip();
    let data = RegressionDataBuilder::new()
        .build_from(
            [("value", values), ("size", sizes)].map(|(name, column): (&str, Vec<f64>)| (name, column)),
        )
        .map_err(of_regression)?;
    let model =
        FormulaRegressionBuilder::new().data(&data).formula("value ~ size").fit().map_err(of_regression)?;
    match *model.parameters() {
        [intercept, slope] => Ok((intercept, slope)),
        ref other => Err(FitError::Regression(format!("{} parameters", other.len()))),
    }
}

/// Columns of [`write_csv`].
const COLUMNS: [&str; 13] = [
    "series",
    "size_of",
    "unit",
    "size",
    "value",
    "slope",
    "intercept",
    "residual",
    "power",
    "full_size",
    "at_full_size",
    "extrapolated",
    "reach",
];

/// Writes one row for each measurement of each series, with the series' fit beside it. What a series does not
/// have is left empty.
///
/// # Errors
/// Where the rows can't be written.
pub fn write_csv(all: &[Series], to: impl Write) -> csv::Result<()> {
    let mut rows = csv::Writer::from_writer(to);
    rows.write_record(COLUMNS)?;
    for series in all {
        let fit = series.fit().ok();
        let of_fit = |value: fn(&Fit) -> f64| fit.as_ref().map(value);
        let of_series = [
            of_fit(|fit| fit.slope),
            of_fit(|fit| fit.intercept),
            of_fit(|fit| fit.residual),
            fit.and_then(|fit| fit.power),
            Some(series.full_size),
            series.at_full_size().ok(),
        ]
        .map(number);
        for (size, value) in &series.points {
            let names = [&series.name, &series.size_of, &series.unit].map(String::clone);
            let point = [number(Some(*size)), number(Some(*value))];
            let reached = [series.is_extrapolated().to_string(), number(Some(series.reach()))];
            rows.write_record(names.iter().chain(&point).chain(&of_series).chain(&reached))?;
        }
    }
    Ok(rows.flush()?)
}

/// Six decimals at most; nothing for what is not there.
fn number(value: Option<f64>) -> String {
    let text = value.map_or(String::new(), |value| format!("{value:.6}"));
    match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').to_owned(),
        false => text,
    }
}
