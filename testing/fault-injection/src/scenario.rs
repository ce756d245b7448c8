//! A scenario as data: who is there, and what goes wrong when. Jsonnet, evaluated as an operator file is, and
//! checked whole before any of it acts.

use std::fmt;
use std::path::Path;

use serde::Deserialize;

/// What is wrong with a scenario, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    /// The place, such as `faults[2].nodes`.
    pub place: String,
    /// What is wrong there.
    pub why: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "scenario: {}: {}", self.place, self.why)
    }
}

impl std::error::Error for Wrong {}

/// Who is there, and what goes wrong when. Times in seconds from the beginning.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// For random numbers.
    pub seed: u64,
    /// How long it takes.
    pub seconds: f64,
    /// Schedulers.
    pub hosts: u32,
    /// What `balancers` tells them, where that is wrong.
    #[serde(default)]
    pub told_hosts: Option<u32>,
    /// Storage nodes, one for each shard.
    pub nodes: u32,
    /// Requests a second at each host.
    pub rate: f64,
    /// The share of keyed writes.
    #[serde(default)]
    pub writes: f64,
    /// All ask one service for lists, at so many milliseconds a call; else each has an agent.
    #[serde(default)]
    pub service_ms: Option<f64>,
    /// Hosts come up within that; all at once where it is 0.
    #[serde(default)]
    pub spread: f64,
    /// All nodes begin cold.
    #[serde(default)]
    pub cold: bool,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Something goes wrong, and is mended `until` then where it lasts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When.
    pub at: f64,
    /// Until when; to the end without it.
    #[serde(default)]
    pub until: Option<f64>,
    /// What.
    #[serde(rename = "do")]
    pub what: What,
    /// To which hosts; all of them without it.
    #[serde(default)]
    pub hosts: Option<Vec<u32>>,
    /// To which nodes; all of them without it.
    #[serde(default)]
    pub nodes: Option<Vec<u32>>,
    /// How late, milliseconds, for `late`.
    #[serde(default)]
    pub ms: Option<u64>,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// Hosts are killed, and start again where it lasts.
    Kill,
    /// Hosts are stopped (SIGSTOP), and go on.
    Stop,
    /// Hosts are ended by SIGTERM, and start again where it lasts.
    Restart,
    /// Discovery is down: agents have nothing new.
    ListsDown,
    /// All watches that stand fall silent, once.
    BreakWatches,
    /// Whoever lists are asked for refuses connections.
    ListsRefused,
    /// What hosts ask for lists does not arrive, or what they are told does not.
    ListsSilent,
    /// Nodes drain by the list and are gone at the end; a cold one takes their shard.
    Replace,
    /// Nodes refuse connections.
    Refuse,
    /// Nothing passes between hosts and nodes; connections reset at the end.
    Silent,
    /// Answers of nodes do not come back; they do at the end.
    Hold,
    /// What hosts send to nodes comes late.
    Late,
    /// Connections to nodes are reset, once.
    Reset,
}

impl Scenario {
    /// Evaluates a file and checks what comes out.
    ///
    /// # Errors
    /// What is wrong, and where.
    pub fn load(path: &Path) -> Result<Self, Wrong> {
        let text = heathward_config::evaluate_jsonnet(path);
        let text = text.map_err(|error| Wrong { place: error.field, why: error.reason })?;
        Self::parse(&text)
    }

    /// Decodes and checks the JSON that a file evaluates to.
    ///
    /// # Errors
    /// What is wrong, and where.
    pub fn parse(text: &str) -> Result<Self, Wrong> {
        let scenario: Self = serde_json::from_str(text).map_err(|error| Wrong {
            place: format!("line {}, column {}", error.line(), error.column()),
            why: error.to_string(),
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), Wrong> {
        let wrong = |place: String, why: String| Err(Wrong { place, why });
        let whole = |place: &str, value: u32, most: u32| match value {
            1.. if value <= most => Ok(()),
            _ => wrong(place.to_owned(), format!("{value} is not within 1 to {most}")),
        };
        whole("hosts", self.hosts, 350)?;
        whole("nodes", self.nodes, 600)?;
        let spans = [("seconds", self.seconds, 0.1, 600.0), ("rate", self.rate, 0.01, 1_000.0)];
        let shares = [("writes", self.writes, 0.0, 1.0), ("spread", self.spread, 0.0, self.seconds)];
        for (place, value, least, most) in spans.into_iter().chain(shares) {
            if !(least..=most).contains(&value) {
                return wrong(place.to_owned(), format!("{value} is not within {least} to {most}"));
            }
        }
        for (number, fault) in self.faults.iter().enumerate() {
            let place = |field: &str| format!("faults[{number}].{field}");
            if !(0.0..self.seconds).contains(&fault.at) {
                return wrong(place("at"), format!("{} is not within the play", fault.at));
            }
            if fault.until.is_some_and(|until| until <= fault.at || until > self.seconds) {
                return wrong(place("until"), "an end before its start, or after the play".to_owned());
            }
            for (field, named, most) in
                [("hosts", &fault.hosts, self.hosts), ("nodes", &fault.nodes, self.nodes)]
            {
                if let Some(unknown) = named.iter().flatten().find(|one| **one >= most) {
                    return wrong(
                        place(field),
                        format!("there is no number {unknown}, only 0 to {}", most - 1),
                    );
                }
            }
            if (fault.what == What::Late) != fault.ms.is_some() {
                return wrong(place("ms"), "goes with late, and late with it".to_owned());
            }
            if fault.what == What::Stop && fault.until.is_none() {
                return wrong(place("until"), "what is stopped has to go on".to_owned());
            }
        }
        Ok(())
    }
}
