//! `heathward-measure experiment SCENARIO`: a scenario with many seeds, by this build or paired by seed with
//! an earlier one. Writes `experiment.csv`, `experiment.json` and `experiment.svg`.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

use clap::Parser;
use heathward_fault_injection::audit::most_cold;
use heathward_fault_injection::compare::{difference, Interval};
use heathward_fault_injection::fleet::{play, Outcome, RULES};
use heathward_fault_injection::scenario::Scenario;
use plotters::prelude::*;
use serde::Serialize;

use crate::program;

/// What is played, and how often.
#[derive(Debug, Parser)]
#[command(name = "heathward-measure experiment", about = "Plays a scenario with many seeds")]
struct Arguments {
    /// The scenario, Jsonnet.
    scenario: PathBuf,
    /// Seeds, from the scenario's own on.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Another build of the program, played with the same seeds.
    #[arg(long)]
    against: Option<PathBuf>,
    /// Where tables and the chart go.
    #[arg(long, default_value = ".")]
    out: PathBuf,
}

/// What one play came to.
#[derive(Clone, Copy, Debug, Serialize)]
struct Row {
    seed: u64,
    /// It is the other build's.
    against: bool,
    served: f64,
    rules_broken: usize,
    list_calls: u64,
    list_calls_in_vain: u64,
    list_bytes: u64,
    /// Until all hosts were ready, seconds.
    slowest_ready: f64,
    /// New connections at the busiest node in 100 ms.
    busiest_connections: usize,
    /// The most that a cold node had, of what the rule lets it have.
    cold_load: f64,
}

/// A figure's name, and how a row has it.
type Figure = (&'static str, fn(&Row) -> f64);

const FIGURES: [Figure; 7] = [
    ("served", |row| row.served),
    ("rules_broken", |row| row.rules_broken as f64),
    ("list_calls", |row| row.list_calls as f64),
    ("list_calls_in_vain", |row| row.list_calls_in_vain as f64),
    ("slowest_ready", |row| row.slowest_ready),
    ("busiest_connections", |row| row.busiest_connections as f64),
    ("cold_load", |row| row.cold_load),
];

fn row(seed: u64, against: bool, seconds: f64, outcome: &Outcome) -> Row {
    let (served, asked) = outcome.served(0.0, seconds);
    let calls = outcome.calls.0;
    Row {
        seed,
        against,
        served: served as f64 / asked.max(1) as f64,
        rules_broken: outcome.breaches.len(),
        list_calls: calls.made,
        list_calls_in_vain: calls.in_vain,
        list_bytes: calls.bytes,
        slowest_ready: outcome.ready.iter().max().copied().unwrap_or_default() as f64 / 1e6,
        busiest_connections: outcome.busiest_connections(),
        cold_load: most_cold(&outcome.log, &RULES),
    }
}

/// Exit code 0 where every rule was kept by this build.
///
/// # Errors
/// What can't be read, started or written.
pub fn run(words: Vec<String>) -> io::Result<bool> {
    let arguments = match Arguments::try_parse_from(words) {
        Ok(arguments) => arguments,
        Err(error) => error.exit(),
    };
    let scenario = Scenario::load(&arguments.scenario).map_err(io::Error::other)?;
    fs::create_dir_all(&arguments.out)?;
    let folder = std::env::temp_dir().join(format!("heathward-experiment-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    let own = program("heathward");
    let mut rows = Vec::new();
    for seed in scenario.seed..scenario.seed + arguments.seeds {
        let scenario = Scenario { seed, ..scenario.clone() };
        for (against, program) in [(false, Some(&own)), (true, arguments.against.as_ref())] {
            let Some(program) = program else { continue };
            let outcome = runtime.block_on(play(&scenario, program, &folder))?;
            let row = row(seed, against, scenario.seconds, &outcome);
            let of = if against { "against" } else { "this" };
            println!("seed {seed} {of}: served {:.3}, {} rules broken", row.served, row.rules_broken);
            outcome.breaches.iter().take(10).for_each(|breach| println!("  {breach}"));
            rows.push(row);
        }
    }
    fs::remove_dir_all(&folder)?;
    tell(&rows);
    write(&rows, &arguments.out)?;
    Ok(rows.iter().all(|row| row.against || row.rules_broken == 0))
}

fn values(rows: &[Row], against: bool, of: fn(&Row) -> f64) -> Vec<f64> {
    rows.iter().filter(|row| row.against == against).map(of).collect()
}

fn tell(rows: &[Row]) {
    for (name, of) in FIGURES {
        let (this, other) = (values(rows, false, of), values(rows, true, of));
        let Some(mean) = Interval::of(&this) else { continue };
        match Interval::of(&other) {
            None => println!("{name:<20} {mean}"),
            Some(before) => println!("{name:<20} {mean}  against {before}: {}", difference(&this, &other)),
        }
    }
}

fn write(rows: &[Row], out: &Path) -> io::Result<()> {
    let mut csv = csv::Writer::from_writer(File::create(out.join("experiment.csv"))?);
    for row in rows {
        csv.serialize(row).map_err(io::Error::other)?;
    }
    csv.flush()?;
    serde_json::to_writer_pretty(File::create(out.join("experiment.json"))?, rows)
        .map_err(io::Error::other)?;
    draw(rows, &out.join("experiment.svg")).map_err(|error| io::Error::other(error.to_string()))
}

/// The share served, by seed, of one build or both.
fn draw(rows: &[Row], path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, (720, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let seeds = rows.iter().map(|row| row.seed as f64);
    let (first, last) = (seeds.clone().fold(f64::MAX, f64::min), seeds.fold(f64::MIN, f64::max));
    let mut chart = ChartBuilder::on(&area)
        .caption("Share served in time, by seed", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(first - 0.5..last + 0.5, 0.0..1.05)?;
    chart.configure_mesh().x_desc("seed").y_desc("served").draw()?;
    for (against, name, colour) in [(false, "this build", BLUE), (true, "against", RED)] {
        let points = rows.iter().filter(|row| row.against == against);
        let points: Vec<_> =
            points.map(|row| Circle::new((row.seed as f64, row.served), 4, colour.filled())).collect();
        if !points.is_empty() {
            chart.draw_series(points)?.label(name).legend(move |at| Circle::new(at, 4, colour.filled()));
        }
    }
    chart.configure_series_labels().border_style(BLACK.mix(0.2)).background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
