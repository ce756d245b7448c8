//! `heathward-measure capacity [--short] [FOLDER]`: how each cost grows with the size of the fleet, each
//! slope as a ratio within one run with its bound. Writes `FOLDER/series.csv` and `FOLDER/series.svg`, in
//! `docs/capacity` where no folder is named. `--short` goes by counts and not by times, and writes nothing
//! unless a folder is named.

use std::fs::{self, File};
use std::io::{self, BufWriter};
use std::path::Path;
use std::time::Instant;

use heathward_scale_tests::bounds::{check_all, Bounds};
use heathward_scale_tests::chart;
use heathward_scale_tests::costs::{all, bounds as cost_bounds};
use heathward_scale_tests::processes::{self, Form};
use heathward_scale_tests::series::{write_csv, Series};

use crate::{program, Figures, Want};

/// Where CSV and chart go unless a folder is named.
const FOLDER: &str = "docs/capacity";

/// Measures some series; the scheduler's program is given.
type Producer = fn(&Path, Form) -> Vec<Series>;

/// Everything that is measured, in this order, and what it must keep.
const PRODUCERS: &[(Producer, &Bounds)] = &[
    (all::decisions, cost_bounds::BOUNDS),
    (all::lists, cost_bounds::BOUNDS),
    (all::list_calls, cost_bounds::BOUNDS),
    (all::cold_starts, cost_bounds::BOUNDS),
    (processes::lists, processes::BOUNDS),
    (processes::connections, processes::BOUNDS),
    (processes::fleet, processes::BOUNDS),
];

/// All figures.
///
/// # Errors
/// Where the folder can't be written, or a series has no bound.
pub fn run(words: &[String], figures: &mut Figures) -> io::Result<()> {
    let form = if words.iter().any(|word| word == "--short") { Form::Short } else { Form::Full };
    let named = words.iter().find(|word| *word != "--short").map(String::as_str);
    let folder = named.or((form == Form::Full).then_some(FOLDER));
    let scheduler = program("heathward");
    let mut all = Vec::new();
    for (measure, bounds) in PRODUCERS {
        let begin = Instant::now();
        let series = measure(&scheduler, form);
        println!("measured {} series in {:.1} s", series.len(), begin.elapsed().as_secs_f64());
        series.iter().for_each(tell);
        for check in check_all(&series, bounds).map_err(io::Error::other)? {
            figures.tell(
                &format!("capacity-{}", check.what),
                check.ratio,
                "ratio",
                Want::AtMost(check.at_most),
            );
        }
        all.extend(series);
    }
    folder.map_or(Ok(()), |folder| write(&all, folder.as_ref()))
}

/// Prints how a series grows, and its value at the full size.
fn tell(series: &Series) {
    let Series { name, unit, size_of, full_size, .. } = series;
    let points: Vec<String> =
        series.points.iter().map(|(size, value)| format!("{size}: {value:.3}")).collect();
    println!("series {name}, {unit} by {size_of}: {}", points.join(", "));
    match series.fit() {
        Ok(fit) => {
            let power = fit.power_text().unwrap_or_else(|| "-".to_owned());
            println!(
                "  fit {:.4} + {:.6} each, residual {:.3}, power {power}",
                fit.intercept, fit.slope, fit.residual
            );
        }
        Err(why) => println!("  no fit: {why}"),
    }
    if let Ok(value) = series.at_full_size() {
        let origin = match series.is_extrapolated() {
            true => format!("extrapolated {:.1} times beyond the largest size", series.reach()),
            false => "measured".to_owned(),
        };
        println!("  at {full_size}: {value:.3}, {origin}");
    }
}

fn write(all: &[Series], folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    write_csv(all, BufWriter::new(File::create(folder.join("series.csv"))?))?;
    chart::draw(all, &folder.join("series.svg")).map_err(|why| io::Error::other(why.to_string()))
}
