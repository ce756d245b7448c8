//! An entry of the journal, decoded once.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use sha2::{Digest, Sha256};

/// An entry that can't be read: where, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Torn {
    /// Its file.
    pub file: String,
    /// What is wrong with it.
    pub why: String,
}

impl fmt::Display for Torn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file, self.why)
    }
}

impl std::error::Error for Torn {}

/// A file of the program as the bench saw it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub struct File {
    /// Below the repository's root.
    pub path: String,
    /// Of its text, in hex.
    pub sha256: String,
}

/// One day of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    /// Such as `herd+mass`.
    pub name: String,
    /// What it was drawn from.
    pub seed: u64,
    /// The day itself as the bench drew it: a later bench may draw another from the same seed.
    pub drawn: String,
    /// Schedulers that were played.
    pub schedulers: u32,
    /// 0 where a rule broke or something crashed.
    pub score: f64,
    /// The rules that broke, with how often.
    pub broken: Vec<(String, u64)>,
    /// What crashed, if anything.
    pub fault: Option<String>,
}

impl Day {
    /// No rule broke and nothing crashed.
    pub fn kept(&self) -> bool {
        self.broken.is_empty() && self.fault.is_none()
    }
}

/// One run of one of the bench's programs.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// As the bench names it.
    pub id: String,
    /// When it began, in UTC.
    pub began: String,
    /// `score` of the simulator, `real-score`, or a single day.
    pub command: String,
    /// The deployment.
    pub site: String,
    /// The days that make the score; none for a single day.
    pub panel: Option<String>,
    /// The decision module's files.
    pub module: Vec<File>,
    /// The network code's files.
    pub network: Vec<File>,
    /// The score of all days.
    pub score: Option<f64>,
    /// Whether the gate was passed, where there is one.
    pub gate: Option<bool>,
    /// It was played to its end.
    pub whole: bool,
    /// Its days.
    pub days: Vec<Day>,
}

#[derive(Deserialize)]
struct Raw {
    id: String,
    at: Vec<String>,
    cmd: String,
    #[serde(default)]
    site: Option<String>,
    #[serde(default)]
    panel: Option<String>,
    #[serde(default)]
    policy: Vec<File>,
    #[serde(default)]
    node: Option<Vec<File>>,
    #[serde(default)]
    score: Option<f64>,
    #[serde(default)]
    figures: Option<RawFigures>,
    #[serde(default)]
    ok: Option<bool>,
    #[serde(default)]
    days: Option<Vec<RawDay>>,
}

#[derive(Deserialize)]
struct RawFigures {
    #[serde(default)]
    real_score: Option<f64>,
    #[serde(default)]
    gate: Option<f64>,
}

#[derive(Deserialize)]
struct RawDay {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    seed: Option<u64>,
    #[serde(default)]
    day: Option<String>,
    #[serde(default)]
    balancers: Option<u32>,
    #[serde(default)]
    score: Option<f64>,
    #[serde(default)]
    rules: Option<BTreeMap<String, u64>>,
    #[serde(default)]
    fault: Option<String>,
}

impl Entry {
    /// Decodes an entry's text; `file` is where it stands.
    ///
    /// # Errors
    /// Text that is cut off or is no entry.
    pub fn parse(file: &str, text: &str) -> Result<Self, Torn> {
        let torn = |why: String| Torn { file: file.to_owned(), why };
        let raw: Raw = serde_json::from_str(text).map_err(|e| torn(e.to_string()))?;
        let Some(began) = raw.at.into_iter().next() else { return Err(torn("at: empty".to_owned())) };
        let figures = raw.figures.unwrap_or(RawFigures { real_score: None, gate: None });
        Ok(Self {
            id: raw.id,
            began,
            command: raw.cmd,
            site: raw.site.unwrap_or_default(),
            panel: raw.panel,
            module: raw.policy,
            network: raw.node.unwrap_or_default(),
            score: raw.score.or(figures.real_score),
            gate: figures.gate.map(|gate| gate > 0.0),
            whole: raw.ok.unwrap_or(false),
            days: raw.days.unwrap_or_default().into_iter().filter_map(day).collect(),
        })
    }

    /// The version of the program that was played, by its files alone.
    pub fn version(&self) -> String {
        version(self.module.iter().chain(&self.network))
    }

    /// A run of real processes that came to no score: too many of its days were void, as the machine was
    /// busy.
    pub fn void(&self) -> bool {
        self.command == "real-score" && self.score.is_none()
    }

    /// Played to its end and scored, the gate passed where there is one, every rule kept and nothing crashed.
    pub fn kept(&self) -> bool {
        self.whole && !self.void() && self.gate != Some(false) && self.days.iter().all(Day::kept)
    }
}

fn day(raw: RawDay) -> Option<Day> {
    let broken = raw.rules.unwrap_or_default().into_iter().filter(|(_, times)| *times > 0).collect();
    let (name, seed, schedulers) = (raw.name?, raw.seed?, raw.balancers.unwrap_or(0));
    let drawn = raw.day.unwrap_or_default();
    Some(Day { name, seed, drawn, schedulers, score: raw.score?, broken, fault: raw.fault })
}

/// A short name for what such files make, in whatever order they come.
pub fn version<'a>(files: impl Iterator<Item = &'a File>) -> String {
    let mut files: Vec<&File> = files.collect();
    files.sort();
    files.dedup();
    let mut hash = Sha256::new();
    for file in files {
        hash.update(format!("{}\0{}\n", file.path, file.sha256));
    }
    hash.finalize()[..5].iter().map(|byte| format!("{byte:02x}")).collect()
}
