//! `heathwardctl report`.

use std::io;
use std::path::{Path, PathBuf};

use heathward_event_log::Micros;
use heathward_incident::{Incident, Window};
use heathward_report::{html, Tables, FILES};
use heathwardctl::folds;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

use crate::cli::ReportOf;
use crate::outcome::Outcome;

/// Microseconds of a day.
const DAY: Micros = 86_400_000_000;

/// A time in a report's window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// Unix time in microseconds.
    Absolute(Micros),
    /// Of the day on which the records end, UTC, microseconds.
    OfDay(Micros),
}

impl Moment {
    /// `09:02`, `09:02:01`, `09:02:01.5`, a time in the form of RFC 3339, or Unix seconds.
    pub fn parse(text: &str) -> Result<Self, String> {
        if let Ok(at) = OffsetDateTime::parse(text, &Rfc3339) {
            let micros = Micros::try_from(at.unix_timestamp_nanos() / 1000);
            return micros.map(Self::Absolute).map_err(|_| "before 1970".to_owned());
        }
        if let Ok(seconds) = text.parse::<u32>() {
            return Ok(Self::Absolute(Micros::from(seconds) * 1_000_000));
        }
        let wrong = || format!("{text:?} is neither HH:MM[:SS], RFC 3339 nor Unix seconds");
        let parts: Vec<&str> = text.split(':').collect();
        let (hour, minute, second) = match parts[..] {
            [hour, minute] => (hour, minute, "0"),
            [hour, minute, second] => (hour, minute, second),
            _ => return Err(wrong()),
        };
        let whole =
            |text: &str, below: u64| text.parse::<u64>().ok().filter(|n| *n < below).ok_or_else(wrong);
        let seconds: f64 = second.parse().ok().filter(|s| (0.0..60.0).contains(s)).ok_or_else(wrong)?;
        let minutes = whole(hour, 24)? * 60 + whole(minute, 60)?;
        Ok(Self::OfDay(minutes * 60_000_000 + (seconds * 1e6) as Micros))
    }

    fn on(self, last: Micros) -> Micros {
        match self {
            Self::Absolute(at) => at,
            Self::OfDay(at) => last - last % DAY + at,
        }
    }
}

/// Makes the report of the records at the paths.
pub fn run(of: &ReportOf) -> Outcome {
    match make(of) {
        Ok(incident) => {
            let broken = incident.audit_broken();
            eprintln!(
                "heathwardctl: {} findings, {} holes, {broken} rules broken",
                incident.findings.len(),
                incident.holes.len()
            );
            if broken > 0 {
                Outcome::Refused
            } else {
                Outcome::Done
            }
        }
        Err(error) => Outcome::wrong_use(error),
    }
}

fn make(of: &ReportOf) -> io::Result<Incident> {
    let folds = folds::read(&of.paths)?;
    let last = folds.iter().map(heathward_incident::Fold::last_wall).max().unwrap_or(0);
    let window =
        Window { from: of.from.map_or(0, |at| at.on(last)), to: of.to.map_or(Micros::MAX, |at| at.on(last)) };
    if window.from >= window.to {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "--to is not after --from"));
    }
    let incident = Incident::of(&folds, window);
    if let Some(path) = &of.output {
        write(path, &html(&incident))?;
    }
    if of.json.is_some() || of.csv.is_some() || of.output.is_none() {
        let tables = Tables::of(&incident);
        if let Some(path) = &of.json {
            write(path, &tables.json()?)?;
        }
        if let Some(folder) = &of.csv {
            std::fs::create_dir_all(folder)?;
            for (name, text) in FILES.iter().zip(tables.csv()) {
                write(&folder.join(name), &text)?;
            }
        }
    }
    if of.output.is_none() && of.json.is_none() && of.csv.is_none() {
        for finding in &incident.findings {
            println!("{} {}", heathward_incident::findings::clock(finding.at), finding.text);
        }
    }
    Ok(incident)
}

/// Whole or not at all: beside it first, then in its place.
fn write(path: &Path, text: &str) -> io::Result<()> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".part");
    let beside = PathBuf::from(beside);
    let at = |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", path.display()));
    std::fs::write(&beside, text).map_err(at)?;
    std::fs::rename(&beside, path).map_err(at)
}

#[cfg(test)]
mod tests;
