//! All series in one picture: a small log-log chart for each.

use std::error::Error;
use std::ops::Range;
use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::series::Series;

/// Charts side by side.
const COLUMNS: usize = 4;
/// Width and height of one chart, pixels: the longest title fits.
const CELL: (u32, u32) = (390, 250);
/// Height of the title above all charts, pixels.
const TITLE_HEIGHT: u32 = 44;
/// What the marks mean. The reach is how many times the full size is the largest one measured.
const TITLE: &str =
    "Cost by size, both axes logarithmic. Blue: measured. Orange, hollow: the full size by the \
                     fitted line, with its reach beyond the largest size measured.";
/// Colours of what was measured, and of what the fitted line says.
const MEASURED: RGBColor = RGBColor(31, 90, 160);
const FITTED: RGBColor = RGBColor(200, 110, 30);

/// Part by which the axes go beyond their decades.
const MARGIN: f64 = 1e-6;

type Canvas<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Writes the chart as SVG. A series whose full size was not measured has a hollow mark there, on its line.
///
/// # Errors
/// Where the file can't be written.
pub fn draw(all: &[Series], path: &Path) -> Result<(), Box<dyn Error>> {
    let rows = all.len().div_ceil(COLUMNS).max(1);
    let size = (CELL.0 * COLUMNS as u32, CELL.1 * rows as u32 + TITLE_HEIGHT);
    let area = SVGBackend::new(path, size).into_drawing_area();
    area.fill(&WHITE)?;
    let (title, charts) = area.split_vertically(TITLE_HEIGHT);
    title.draw(&Text::new(TITLE, (12, 14), ("sans-serif", 17).into_font()))?;
    let cells = charts.split_evenly((rows, COLUMNS));
    for (series, cell) in all.iter().zip(&cells) {
        draw_one(series, cell)?;
    }
    area.present()?;
    Ok(())
}

fn draw_one(series: &Series, cell: &Canvas<'_>) -> Result<(), Box<dyn Error>> {
    let measured: Vec<(f64, f64)> =
        series.points.iter().copied().filter(|(size, value)| *size > 0.0 && *value > 0.0).collect();
    let extrapolated = series.is_extrapolated().then(|| series.at_full_size().ok()).flatten();
    let at_full = extrapolated.filter(|value| *value > 0.0).map(|value| (series.full_size, value));
    let power = series.fit().ok().and_then(|fit| fit.power_text());
    let growth = power.map_or(String::new(), |power| format!(", power {power}"));
    let reach = at_full.map_or(String::new(), |_| format!(", reach {:.1}", series.reach()));
    let title = format!("{} [{}]{growth}{reach}", series.name, series.unit);
    let shown = || measured.iter().chain(&at_full);
    let (sizes, values) = (decades(shown().map(|point| point.0)), decades(shown().map(|point| point.1)));
    let mut chart = ChartBuilder::on(cell)
        .caption(title, ("sans-serif", 13))
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(58)
        .build_cartesian_2d(sizes.log_scale(), values.log_scale())?;
    chart
        .configure_mesh()
        .light_line_style(BLACK.mix(0.04))
        .bold_line_style(BLACK.mix(0.15))
        .x_desc(&series.size_of)
        .x_labels(6)
        .y_labels(6)
        .x_label_formatter(&|size| short(*size))
        .y_label_formatter(&|value| short(*value))
        .draw()?;
    chart.draw_series(LineSeries::new(measured.iter().copied(), MEASURED.stroke_width(2)))?;
    chart.draw_series(measured.iter().map(|point| Circle::new(*point, 3, MEASURED.filled())))?;
    if let (Some(last), Some(point)) = (measured.last(), at_full) {
        chart.draw_series(LineSeries::new([*last, point], FITTED.stroke_width(1)))?;
        chart.draw_series([Circle::new(point, 4, FITTED.stroke_width(2))])?;
    }
    Ok(())
}

/// The whole decades around all values.
fn decades(values: impl Iterator<Item = f64>) -> Range<f64> {
    let (least, most) =
        values.fold((f64::MAX, f64::MIN), |(least, most), value| (least.min(value), most.max(value)));
    if least > most {
        return 1.0..10.0;
    }
    let (from, to) = (least.log10().floor(), most.log10().ceil());
    // A little more at both ends: labels stand within, and 0.1 has no exact number.
    10f64.powf(from) * (1.0 - MARGIN)..10f64.powf(to.max(from + 1.0)) * (1.0 + MARGIN)
}

/// A number in a few characters: `5.1k`, `0.02`.
fn short(value: f64) -> String {
    let (scaled, suffix) = match value {
        value if value >= 1e9 => (value / 1e9, "G"),
        value if value >= 1e6 => (value / 1e6, "M"),
        value if value >= 1e3 => (value / 1e3, "k"),
        value => (value, ""),
    };
    let rounded = (scaled * 1000.0).round() / 1000.0;
    format!("{rounded}{suffix}")
}
