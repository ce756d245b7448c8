//! Scores of days by version of the program, and which falls are larger than chance.

use std::collections::BTreeMap;
use std::io;

use crate::entry::Entry;

/// The scores of one day with one seed at one version.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Such as `herd+mass`.
    pub day: String,
    /// What it was drawn from.
    pub seed: u64,
    /// The day itself.
    pub drawn: String,
    /// Schedulers played.
    pub schedulers: u32,
    /// The program's.
    pub version: String,
    /// When that version was first played at all, which orders versions.
    pub since: String,
    /// Every score, in the order of play.
    pub scores: Vec<f64>,
    /// Plays in which a rule broke or something crashed.
    pub failed: u32,
    /// Plays whose run passed its gate, and whose run failed it.
    pub gates: (u32, u32),
}

impl Row {
    /// Of all its plays.
    pub fn mean(&self) -> f64 {
        self.scores.iter().sum::<f64>() / self.scores.len() as f64
    }

    /// The largest score less the least; `None` for a single play.
    pub fn spread(&self) -> Option<f64> {
        let most = self.scores.iter().copied().fold(f64::MIN, f64::max);
        let least = self.scores.iter().copied().fold(f64::MAX, f64::min);
        (self.scores.len() > 1).then_some(most - least)
    }
}

/// A score that fell from one version to the next that played the same day.
#[derive(Clone, Debug, PartialEq)]
pub struct Fall {
    /// The day.
    pub day: String,
    /// Its seed.
    pub seed: u64,
    /// Before and after: the versions.
    pub versions: (String, String),
    /// Before and after: the means.
    pub means: (f64, f64),
    /// The widest spread of repeated plays of this day; none where nothing was repeated.
    pub spread: Option<f64>,
}

impl Fall {
    /// How far it fell.
    pub fn by(&self) -> f64 {
        self.means.0 - self.means.1
    }

    /// It is larger than any spread of repeated plays; without such plays nothing can be said.
    pub fn is_real(&self) -> Option<bool> {
        self.spread.map(|spread| self.by() > spread)
    }
}

/// All days of all entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// By day, seed, what was drawn from it, and the order of versions.
    pub rows: Vec<Row>,
}

impl Table {
    /// Of such entries, in whatever order.
    pub fn new(entries: &[Entry]) -> Self {
        let mut entries: Vec<&Entry> = entries.iter().collect();
        entries.sort_by(|a, b| (&a.began, &a.id).cmp(&(&b.began, &b.id)));
        let mut since: BTreeMap<String, String> = BTreeMap::new();
        let mut rows: BTreeMap<(String, u64, String, String, String), Row> = BTreeMap::new();
        for entry in entries {
            let version = entry.version();
            let since = since.entry(version.clone()).or_insert_with(|| entry.began.clone()).clone();
            for day in &entry.days {
                let key = (day.name.clone(), day.seed, day.drawn.clone(), since.clone(), version.clone());
                let row = rows.entry(key).or_insert_with(|| Row {
                    day: day.name.clone(),
                    seed: day.seed,
                    drawn: day.drawn.clone(),
                    schedulers: day.schedulers,
                    version: version.clone(),
                    since: since.clone(),
                    scores: Vec::new(),
                    failed: 0,
                    gates: (0, 0),
                });
                row.scores.push(day.score);
                row.failed += u32::from(!day.kept());
                row.gates.0 += u32::from(entry.gate == Some(true));
                row.gates.1 += u32::from(entry.gate == Some(false));
            }
        }
        Self { rows: rows.into_values().collect() }
    }

    /// The widest spread of repeated plays of a day at one version and seed.
    pub fn spread(&self, day: &str) -> Option<f64> {
        self.rows.iter().filter(|row| row.day == day).filter_map(Row::spread).reduce(f64::max)
    }

    /// Each fall of a score from a version to the next that played the same day.
    pub fn falls(&self) -> Vec<Fall> {
        let pairs = self.rows.windows(2).filter(|pair| {
            let key = |row: &Row| (row.day.clone(), row.seed, row.drawn.clone());
            key(&pair[0]) == key(&pair[1]) && pair[1].mean() < pair[0].mean()
        });
        let fall = |pair: &[Row]| Fall {
            day: pair[0].day.clone(),
            seed: pair[0].seed,
            versions: (pair[0].version.clone(), pair[1].version.clone()),
            means: (pair[0].mean(), pair[1].mean()),
            spread: self.spread(&pair[0].day),
        };
        pairs.map(fall).collect()
    }

    /// As CSV with a header.
    ///
    /// # Errors
    /// Those of `to`.
    pub fn write_csv(&self, to: impl io::Write) -> io::Result<()> {
        let mut csv = csv::Writer::from_writer(to);
        let head = [
            "day",
            "seed",
            "drawn",
            "schedulers",
            "version",
            "since",
            "plays",
            "mean",
            "spread",
            "failed",
            "gate",
        ];
        csv.write_record(head)?;
        for row in &self.rows {
            csv.write_record([
                row.day.clone(),
                row.seed.to_string(),
                row.drawn.clone(),
                row.schedulers.to_string(),
                row.version.clone(),
                row.since.clone(),
                row.scores.len().to_string(),
                format!("{:.3}", row.mean()),
                row.spread().map_or(String::new(), |spread| format!("{spread:.3}")),
                row.failed.to_string(),
                gate(row.gates).to_owned(),
            ])?;
        }
        csv.flush()
    }
}

/// What the gates of a row's plays came to.
pub fn gate(gates: (u32, u32)) -> &'static str {
    match gates {
        (0, 0) => "",
        (_, 0) => "passed",
        (0, _) => "failed",
        _ => "both",
    }
}
