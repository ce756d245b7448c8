//! `heathward-measure journal [FOLDER]`: scores by version of the program, and which falls are larger than
//! chance. Writes `FOLDER/journal.csv` and `FOLDER/journal.svg`, `docs` where no folder is named.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufWriter};
use std::path::Path;

use heathward_bench_journal::table::gate;
use heathward_bench_journal::{Entry, Fall, Row, Table, Torn};
use plotters::prelude::*;

/// Days with fewer versions than this tell no course, and are left out of the chart.
const COURSE: usize = 4;

/// Every entry of the repository's journal; those that can't be read are told.
///
/// # Errors
/// Without a journal.
pub fn entries() -> io::Result<(Vec<Entry>, Vec<Torn>)> {
    let (mut entries, mut torn) = (Vec::new(), Vec::new());
    for file in fs::read_dir("journal")? {
        let path = file?.path();
        if path.extension().is_some_and(|ending| ending == "json") {
            match Entry::parse(&path.display().to_string(), &fs::read_to_string(&path)?) {
                Ok(entry) => entries.push(entry),
                Err(why) => torn.push(why),
            }
        }
    }
    Ok((entries, torn))
}

/// Prints the table, and writes CSV and chart.
///
/// # Errors
/// Without a journal, or where the folder can't be written.
pub fn run(folder: &Path) -> io::Result<()> {
    let (entries, torn) = entries()?;
    torn.iter().for_each(|torn| eprintln!("{torn}"));
    let table = Table::new(&entries);
    println!(
        "{:<22} {:>14} {:>5}  {:<10} {:>5} {:>6} {:>6}  gate",
        "day", "seed", "hosts", "version", "plays", "mean", "spread"
    );
    table.rows.iter().for_each(tell);
    let (mut real, mut unknown) = (0, 0);
    for fall in table.falls() {
        match fall.is_real() {
            Some(true) => {
                real += 1;
                tell_fall(&fall);
            }
            None => unknown += 1,
            Some(false) => {}
        }
    }
    println!("{real} falls are larger than any spread of repeated plays of their day");
    println!("{unknown} are of days that were never repeated");
    table.write_csv(BufWriter::new(File::create(folder.join("journal.csv"))?))?;
    draw(&table, &folder.join("journal.svg")).map_err(|e| io::Error::other(e.to_string()))
}

fn tell(row: &Row) {
    let spread = row.spread().map_or("-".to_owned(), |spread| format!("{spread:.3}"));
    let failed = if row.failed > 0 { format!("  {} failed", row.failed) } else { String::new() };
    let (day, seed, hosts, version) = (&row.day, row.seed, row.schedulers, &row.version);
    let (plays, mean, gate) = (row.scores.len(), row.mean(), gate(row.gates));
    println!(
        "{day:<22} {seed:>14} {hosts:>5}  {version:<10} {plays:>5} {mean:>6.3} {spread:>6}  {gate}{failed}"
    );
}

fn tell_fall(fall: &Fall) {
    let spread = fall.spread.unwrap_or_default();
    println!(
        "fall: {} (seed {}) from {:.3} to {:.3}, {} to {}; repeated plays differ by {spread:.3} at most",
        fall.day, fall.seed, fall.means.0, fall.means.1, fall.versions.0, fall.versions.1
    );
}

/// The mean of each day over all its seeds at each version, in the order of versions.
fn courses(table: &Table) -> BTreeMap<&str, Vec<(&str, f64)>> {
    let mut sums: BTreeMap<&str, BTreeMap<&str, (f64, u32)>> = BTreeMap::new();
    for row in &table.rows {
        let sum = sums.entry(&row.day).or_default().entry(&row.since).or_default();
        *sum = (sum.0 + row.mean(), sum.1 + 1);
    }
    sums.into_iter()
        .map(|(day, sums)| (day, sums.into_iter().map(|(at, (sum, n))| (at, sum / f64::from(n))).collect()))
        .filter(|(_, course): &(&str, Vec<_>)| course.len() >= COURSE)
        .collect()
}

/// A line for each day over the versions that played it.
fn draw(table: &Table, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let courses = courses(table);
    let mut order: Vec<&str> = courses.values().flatten().map(|(since, _)| *since).collect();
    order.sort_unstable();
    order.dedup();
    let place = |since: &str| order.partition_point(|other| *other < since) as f64;
    let area = SVGBackend::new(path, (1080, 640)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Score of each day by version of the program, mean over seeds", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..order.len().max(2) as f64 * 1.25, 0.0..1.0)?;
    chart.configure_mesh().x_desc("versions, in the order of their first play").y_desc("score").draw()?;
    for (number, (day, course)) in courses.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let points: Vec<(f64, f64)> = course.iter().map(|(since, mean)| (place(since), *mean)).collect();
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(*day)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().border_style(BLACK.mix(0.2)).background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
