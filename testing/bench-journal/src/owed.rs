//! Which runs a state of the program owes.

use crate::entry::Entry;
use crate::state::State;

/// A run of the regression.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// Its name here.
    pub name: &'static str,
    /// The bench's program, below the kit.
    pub program: &'static str,
    /// What it is given.
    pub arguments: &'static [&'static str],
    /// The deployment in the journal.
    site: &'static str,
    /// The command in the journal.
    command: &'static str,
    /// What its panel's name holds, for which the full panel serves as well as the quick one, and not.
    days: &'static str,
    /// What its panel's name does not hold.
    without: &'static str,
    /// The full panel alone serves.
    full: bool,
    /// Only the decision module counts.
    module: bool,
}

const SITE: &str = "sites/predio-norte.toml";
const SECOND: &str = "users/granite-shelf-main.toml";

/// The days of few schedulers and narrow moments, whose names hold those of other days.
const BRINK: &str = "+brink";

const NONE: Run = Run {
    name: "",
    program: "",
    arguments: &[],
    site: "predio-norte",
    command: "real-score",
    days: "",
    without: BRINK,
    full: false,
    module: false,
};

/// All of them, in the order in which they are played: the standing duty first.
pub const RUNS: &[Run] = &[
    Run {
        name: "fleet-quick",
        program: "more/mass/bin/lbreal",
        arguments: &["score", SITE, "--quick"],
        days: "+mass",
        ..NONE
    },
    Run {
        name: "brink",
        program: "more/mass/bin/lbreal",
        arguments: &["score", SITE, "--panel", "brink"],
        days: BRINK,
        without: "+vast",
        ..NONE
    },
    Run {
        name: "module-quick",
        program: "bin/lbsim",
        arguments: &["score", SITE, "--quick"],
        command: "score",
        module: true,
        ..NONE
    },
    Run {
        name: "later-quick",
        program: "more/mass/bin/lbreal",
        arguments: &["score", SITE, "--panel", "later", "--quick"],
        days: "churn,",
        ..NONE
    },
    Run {
        name: "hundred-quick",
        program: "more/bin/lbreal",
        arguments: &["score", SITE, "--quick"],
        days: "+vast",
        ..NONE
    },
    Run {
        name: "granite-quick",
        program: "real/bin/lbreal",
        arguments: &["score", SECOND, "--quick"],
        site: "granite-shelf-main",
        ..NONE
    },
    Run {
        name: "granite-module",
        program: "bin/lbsim",
        arguments: &["score", SECOND, "--quick"],
        site: "granite-shelf-main",
        command: "score",
        module: true,
        ..NONE
    },
    Run {
        name: "fleet-full",
        program: "more/mass/bin/lbreal",
        arguments: &["score", SITE],
        days: "+mass",
        full: true,
        ..NONE
    },
    Run {
        name: "granite-full",
        program: "real/bin/lbreal",
        arguments: &["score", SECOND],
        site: "granite-shelf-main",
        full: true,
        ..NONE
    },
];

impl Run {
    /// The entry is one of this run, whatever was played.
    pub fn is(&self, entry: &Entry) -> bool {
        let panel = entry.panel.as_deref().unwrap_or_default();
        entry.command == self.command
            && entry.site == self.site
            && panel.contains(self.days)
            && !panel.contains(self.without)
            && !(self.full && panel.ends_with(":quick"))
    }

    /// The entry was played with this state, as far as this run sees it.
    fn fits(&self, state: &State, entry: &Entry) -> bool {
        self.is(entry) && if self.module { state.same_module(entry) } else { state.same(entry) }
    }
}

/// How a run stands for a state of the program.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Played, every rule kept and the gate passed.
    Kept {
        /// The newest entry.
        id: String,
        /// Its score.
        score: Option<f64>,
    },
    /// Played, and a rule broke, something crashed, the gate failed or the run was cut off.
    Failed {
        /// The newest entry.
        id: String,
        /// What went wrong.
        why: String,
    },
    /// Never played with this state.
    Missing,
}

/// A run, and how it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Owed {
    /// The run.
    pub run: Run,
    /// How it stands.
    pub verdict: Verdict,
}

impl Owed {
    /// It has to be played, or played again.
    pub fn is_due(&self) -> bool {
        !matches!(self.verdict, Verdict::Kept { .. })
    }
}

/// How each run stands, by the newest entry that fits; `entries` in whatever order.
pub fn owed(state: &State, entries: &[Entry]) -> Vec<Owed> {
    let stands = |run: &Run| {
        let newest =
            entries.iter().filter(|entry| run.fits(state, entry)).max_by(|a, b| a.began.cmp(&b.began));
        match newest {
            None => Verdict::Missing,
            Some(entry) if entry.kept() => Verdict::Kept { id: entry.id.clone(), score: entry.score },
            Some(entry) => Verdict::Failed { id: entry.id.clone(), why: why(entry) },
        }
    };
    RUNS.iter().map(|run| Owed { run: *run, verdict: stands(run) }).collect()
}

/// What went wrong in an entry, in a line.
pub fn why(entry: &Entry) -> String {
    let mut said: Vec<String> = Vec::new();
    for day in entry.days.iter().filter(|day| !day.kept()) {
        let rules = day.broken.iter().map(|(rule, times)| format!("{rule} broken {times} times"));
        let told: Vec<String> = rules.chain(day.fault.clone()).collect();
        said.push(format!("{} (seed {}): {}", day.name, day.seed, told.join(", ")));
    }
    if entry.gate == Some(false) {
        said.push("the gate failed".to_owned());
    }
    if entry.whole && entry.void() {
        said.push("no score: the machine was too busy".to_owned());
    }
    if !entry.whole {
        said.push("it was not played to its end".to_owned());
    }
    said.join("; ")
}
