//! Charts over time, as SVG that stands in the page.

use heathward_event_log::{Micros, NodeState};
use heathward_incident::findings::clock;
use heathward_incident::{ClassCounts, HoleSeen, Incident, Series, Sum, Times};
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

/// Columns of a chart at most: what is more is drawn together.
const COLUMNS: u64 = 300;
/// Sizes in pixels.
const WIDTH: u32 = 1080;
const LEFT: u32 = 110;
const RIGHT: u32 = 12;

/// Colours that also people who see fewer can tell apart, dark to light (after Okabe and Ito).
pub const IN_AIM: RGBColor = RGBColor(0, 158, 115);
pub const LATE: RGBColor = RGBColor(240, 228, 66);
pub const REFUSED: RGBColor = RGBColor(230, 159, 0);
pub const FAILED: RGBColor = RGBColor(213, 94, 0);
pub const GONE: RGBColor = RGBColor(150, 150, 150);
pub const SENT: RGBColor = RGBColor(0, 114, 178);
/// Nothing is known.
pub const UNKNOWN: RGBColor = RGBColor(90, 90, 90);

/// A state's colour.
pub fn colour(state: NodeState) -> RGBColor {
    match state {
        NodeState::InService => RGBColor(196, 232, 220),
        NodeState::SlowStart(_) => RGBColor(86, 180, 233),
        NodeState::Unresponsive => RGBColor(213, 94, 0),
        NodeState::Suspended => RGBColor(204, 121, 167),
        NodeState::Draining => RGBColor(240, 196, 66),
        NodeState::Removed => RGBColor(200, 200, 200),
    }
}

/// Counts in columns that a chart has room for.
fn columns<T: Sum>(series: &Series<T>, incident: &Incident) -> Vec<(Micros, Micros, T)> {
    let span = incident.window.to.saturating_sub(incident.window.from);
    let wanted = span.div_ceil(COLUMNS).max(series.width());
    let width = wanted.div_ceil(series.width()) * series.width();
    let mut columns: Vec<(Micros, Micros, T)> = Vec::new();
    for (from, counts) in series.iter() {
        let begin = from - from % width;
        match columns.last_mut().filter(|(last, ..)| *last == begin) {
            Some((.., sum)) => sum.add(counts),
            None => columns.push((begin, begin + width, counts.clone())),
        }
    }
    columns
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;
type Drawn = Result<(), Box<dyn std::error::Error>>;

/// Seconds since the window's beginning.
fn x(incident: &Incident, at: Micros) -> f64 {
    at.saturating_sub(incident.window.from) as f64 / 1e6
}

fn end(incident: &Incident) -> f64 {
    x(incident, incident.window.to).max(0.001)
}

/// A time on an axis: without milliseconds where these do not matter.
fn label(incident: &Incident, seconds: f64) -> String {
    let text = clock(incident.window.from + (seconds.max(0.0) * 1e6) as Micros);
    if end(incident) >= 20.0 {
        text[..8].to_owned()
    } else {
        text
    }
}

/// An SVG; an empty one if it can't be drawn, which no data here can cause.
fn svg(height: u32, draw: impl FnOnce(&Area<'_>) -> Drawn) -> String {
    let mut text = String::new();
    let drawn = {
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        draw(&area).and_then(|()| Ok(area.present()?))
    };
    match drawn {
        Ok(()) => text,
        Err(_) => String::new(),
    }
}

/// Room for axes, and for what stands over them up to `most`.
fn plain<'a, 'b>(
    area: &'a Area<'b>,
    incident: &Incident,
    most: f64,
) -> Result<Chart<'a, 'b>, Box<dyn std::error::Error>> {
    let chart = ChartBuilder::on(area)
        .x_label_area_size(24)
        .y_label_area_size(LEFT)
        .margin_right(RIGHT)
        .margin_top(8)
        .build_cartesian_2d(0.0..end(incident), 0.0..most)?;
    Ok(chart)
}

/// Axes with times below and figures at the left.
fn axes<'a, 'b>(
    area: &'a Area<'b>,
    incident: &Incident,
    most: f64,
    unit: &str,
) -> Result<Chart<'a, 'b>, Box<dyn std::error::Error>> {
    let mut chart = plain(area, incident, most)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(TRANSPARENT)
        .bold_line_style(RGBColor(225, 225, 225))
        .x_labels(8)
        .y_labels(5)
        .x_label_formatter(&|seconds| label(incident, *seconds))
        .y_desc(unit)
        .label_style(("sans-serif", 12))
        .draw()?;
    Ok(chart)
}

/// Grey over what something is missing of, from top to bottom.
fn holes(chart: &mut Chart<'_, '_>, incident: &Incident, most: f64) -> Drawn {
    let hole = |hole: &HoleSeen| {
        let (from, to) = (x(incident, hole.from), x(incident, hole.to).min(end(incident)));
        Rectangle::new(
            [(from, 0.0), (to.max(from + end(incident) / 500.0), most)],
            UNKNOWN.mix(0.25).filled(),
        )
    };
    chart.draw_series(incident.holes.iter().map(hole))?;
    Ok(())
}

/// What became of a class's requests, one upon the other, each second's rate.
pub fn service(incident: &Incident, series: &Series<ClassCounts>) -> String {
    let columns = columns(series, incident);
    let per_second = |count: u64, from: Micros, to: Micros| count as f64 * 1e6 / (to - from) as f64;
    let parts = |counts: &ClassCounts| {
        [
            (counts.in_aim, IN_AIM),
            (counts.late, LATE),
            (counts.refused.iter().sum(), REFUSED),
            (counts.failed.iter().sum(), FAILED),
            (counts.gone, GONE),
        ]
    };
    let most = columns.iter().map(|(from, to, counts)| per_second(counts.ended(), *from, *to));
    let most = most.fold(1.0, f64::max) * 1.05;
    svg(190, |area| {
        let mut chart = axes(area, incident, most, "requests a second")?;
        for (from, to, counts) in &columns {
            let mut below = 0.0;
            for (count, colour) in parts(counts).into_iter().filter(|(count, _)| *count > 0) {
                let above = below + per_second(count, *from, *to);
                let corners = [(x(incident, *from), below), (x(incident, *to).min(end(incident)), above)];
                chart.draw_series([Rectangle::new(corners, colour.filled())])?;
                below = above;
            }
        }
        holes(&mut chart, incident, most)
    })
}

/// How long the served took: a heat map by the share of each column, with p50 and p99 drawn over it.
pub fn times(incident: &Incident, series: &Series<ClassCounts>, aim: Micros) -> String {
    let columns = columns(series, incident);
    let top = columns.iter().map(|(.., counts)| counts.times.places().len()).max().unwrap_or(0);
    let top = (top.max(Times::place(aim) + 2) + 1) as f64;
    let heat = |share: f64| RGBColor(0, 114, 178).mix((0.12 + 0.88 * share.sqrt()).min(1.0));
    svg(220, |area| {
        let mut chart = plain(area, incident, top)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .x_labels(8)
            .y_labels(8)
            .x_label_formatter(&|seconds| label(incident, *seconds))
            .y_label_formatter(&|place| format!("{:.0} ms", Times::border(place.max(0.0) as usize)))
            .y_desc("time of the served")
            .label_style(("sans-serif", 12))
            .draw()?;
        for (from, to, counts) in &columns {
            let all = counts.times.places().iter().sum::<u64>().max(1) as f64;
            let (left, right) = (x(incident, *from), x(incident, *to).min(end(incident)));
            let some = counts.times.places().iter().enumerate().filter(|(_, count)| **count > 0);
            chart.draw_series(some.map(|(place, count)| {
                let corners = [(left, place as f64), (right, place as f64 + 1.0)];
                Rectangle::new(corners, heat(*count as f64 / all).filled())
            }))?;
        }
        let middle =
            |from: Micros, to: Micros| (x(incident, from) + x(incident, to).min(end(incident))) / 2.0;
        for (share, colour) in [(0.5, BLACK), (0.99, FAILED)] {
            let place = |ms: f64| (ms.max(1.0).log2() * 4.0).max(0.0);
            let points: Vec<(f64, f64)> = columns
                .iter()
                .filter_map(|(from, to, c)| Some((middle(*from, *to), place(c.times.quantile(share)?))))
                .collect();
            // No line is drawn where nothing is known.
            let width = columns.first().map_or(1.0, |(from, to, _)| (to - from) as f64 / 1e6);
            for run in points.chunk_by(|a, b| b.0 - a.0 < 2.5 * width) {
                chart.draw_series(LineSeries::new(run.iter().copied(), colour.stroke_width(2)))?;
            }
        }
        let aim = Times::place(aim) as f64;
        let line = PathElement::new(vec![(0.0, aim), (end(incident), aim)], IN_AIM.stroke_width(1));
        chart.draw_series([line])?;
        holes(&mut chart, incident, top)
    })
}

/// Pixels of a scheduler's part of a node's lane.
const LANE: u32 = 9;

/// How each scheduler treated each node: a row for each node, in it a thin one for each scheduler.
pub fn lanes(incident: &Incident) -> String {
    let mut names: Vec<&str> = incident.boots.iter().map(|boot| boot.scheduler.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    let row = names.len() as u32 * LANE + 8;
    let height = row * incident.nodes.len() as u32;
    svg(height.max(1) + 30, |area| {
        let most = f64::from(height.max(1));
        let mut chart = plain(area, incident, most)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .x_labels(8)
            .y_labels(0)
            .x_label_formatter(&|seconds| label(incident, *seconds))
            .label_style(("sans-serif", 12))
            .draw()?;
        for (place, table) in incident.nodes.iter().enumerate() {
            let top = most - f64::from(row * place as u32) - 4.0;
            for lane in &table.lanes {
                let name = &incident.boots[lane.boot].scheduler;
                let line = names.iter().position(|known| known == name).unwrap_or(0) as u32;
                let above = top - f64::from(line * LANE);
                let below = above - f64::from(LANE) + 1.0;
                chart.draw_series(lane.spans.iter().map(|span| {
                    let (from, to) = (x(incident, span.from), x(incident, span.to).min(end(incident)));
                    Rectangle::new([(from, above), (to.max(from), below)], colour(span.state).filled())
                }))?;
                let unknown = incident.holes.iter().filter(|hole| hole.boot == lane.boot);
                chart.draw_series(unknown.map(|hole| {
                    let (from, to) = (x(incident, hole.from), x(incident, hole.to).min(end(incident)));
                    Rectangle::new([(from, above), (to.max(from), below)], UNKNOWN.filled())
                }))?;
            }
            let (_, at) = chart.backend_coord(&(0.0, top - f64::from(row) / 2.0));
            let name: String = table.name.chars().take(15).collect();
            area.draw_text(&name, &("sans-serif", 13).into_text_style(area), (6, at - 5))?;
        }
        Ok(())
    })
}

/// Attempts at a node each second, those that did not serve in red upon the others.
pub fn attempts(incident: &Incident, series: &Series<heathward_incident::NodeCounts>, most: f64) -> String {
    let columns = columns(series, incident);
    svg(96, |area| {
        let mut chart = axes(area, incident, most, "attempts/s")?;
        for (from, to, counts) in &columns {
            let rate = |count: u64| count as f64 * 1e6 / (to - from) as f64;
            let lost = rate(counts.ends.iter().skip(1).take(6).sum());
            let all = rate(counts.sent).max(lost);
            let (left, right) = (x(incident, *from), x(incident, *to).min(end(incident)));
            chart.draw_series([
                Rectangle::new([(left, 0.0), (right, all)], SENT.mix(0.55).filled()),
                Rectangle::new([(left, 0.0), (right, lost)], FAILED.filled()),
            ])?;
        }
        holes(&mut chart, incident, most)
    })
}

/// The highest rate of attempts at any node, so that all nodes' charts have one scale.
pub fn most_attempts(incident: &Incident) -> f64 {
    let rates = incident.nodes.iter().flat_map(|table| {
        let columns = columns(&table.series, incident);
        columns.into_iter().map(|(from, to, counts)| counts.sent as f64 * 1e6 / (to - from) as f64)
    });
    rates.fold(1.0, f64::max) * 1.05
}
