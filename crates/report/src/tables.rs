//! The report's tables, from which JSON and CSV are made; the HTML shows the same.

use std::fmt::Write;

use heathward_event_log::{
    Micros, NodeState, StateChangeCause, ATTEMPT_END_NAMES, FAILURE_REASON_NAMES, SHED_REASON_NAMES,
};
use heathward_incident::audit::{Checked, Rule};
use heathward_incident::findings::Finding;
use heathward_incident::{ClassCounts, Ending, Incident, Missing, NodeCounts};
use serde::Serialize;

/// Names of the CSV files, in the order of [`Tables::csv`].
pub const FILES: [&str; 7] =
    ["findings.csv", "classes.csv", "nodes.csv", "states.csv", "schedulers.csv", "holes.csv", "rules.csv"];

/// All that a report says. Times are Unix time in microseconds on the common clock.
#[derive(Debug, Serialize)]
pub struct Tables {
    #[serde(rename = "from")]
    from: Micros,
    #[serde(rename = "to")]
    to: Micros,
    findings: Vec<Finding>,
    classes: Vec<ClassRow>,
    nodes: Vec<NodeRow>,
    states: Vec<StateRow>,
    schedulers: Vec<SchedulerRow>,
    #[serde(rename = "holes")]
    holes: Vec<HoleRow>,
    rules: Vec<RuleRow>,
}

/// A class in a bin.
#[derive(Debug, Serialize)]
struct ClassRow {
    class: String,
    #[serde(rename = "from")]
    from: Micros,
    #[serde(rename = "width")]
    width: Micros,
    /// Something is missing: the counts are the least that there can have been.
    at_least: bool,
    p50_ms: Option<f64>,
    p99_ms: Option<f64>,
    #[serde(flatten)]
    counts: ClassCounts,
}

/// A node in a bin.
#[derive(Debug, Serialize)]
struct NodeRow {
    node: String,
    #[serde(rename = "from")]
    from: Micros,
    #[serde(rename = "width")]
    width: Micros,
    at_least: bool,
    #[serde(flatten)]
    counts: NodeCounts,
}

/// How a scheduler treated a node for a while.
#[derive(Debug, Serialize)]
struct StateRow {
    node: String,
    scheduler: String,
    boot: String,
    #[serde(rename = "from")]
    from: Micros,
    #[serde(rename = "to")]
    to: Micros,
    state: &'static str,
    #[serde(rename = "why")]
    why: String,
}

/// A run of a scheduler.
#[derive(Debug, Serialize)]
struct SchedulerRow {
    scheduler: String,
    boot: String,
    #[serde(rename = "from")]
    from: Micros,
    #[serde(rename = "to")]
    to: Micros,
    #[serde(rename = "ended")]
    ended: &'static str,
    /// Its wall clock against the common one.
    #[serde(rename = "ahead_us")]
    ahead_us: i64,
    /// How far that can be wrong, either way, where it is known.
    #[serde(rename = "less_us")]
    less_us: Option<i64>,
    #[serde(rename = "more_us")]
    more_us: Option<i64>,
    /// Runs with the same number have something in common that their clocks go by.
    group: usize,
}

/// A while of which something is missing.
#[derive(Debug, Serialize)]
struct HoleRow {
    scheduler: String,
    boot: String,
    #[serde(rename = "from")]
    from: Micros,
    #[serde(rename = "to")]
    to: Micros,
    events: u64,
    #[serde(rename = "why")]
    why: Missing,
}

/// A rule and what was found of it.
#[derive(Debug, Serialize)]
struct RuleRow {
    rule: &'static str,
    /// Something is missing: it may have been broken there.
    at_least: bool,
    #[serde(flatten)]
    checked: Checked,
}

/// A run's end in words.
pub fn ending(ending: Ending) -> &'static str {
    match ending {
        Ending::Planned => "by plan",
        Ending::Cut => "without a last word",
        Ending::Running => "not yet",
    }
}

/// A state in a word.
pub fn word(state: NodeState) -> &'static str {
    match state {
        NodeState::InService => "in service",
        NodeState::SlowStart(_) => "cold",
        NodeState::Unresponsive => "silent",
        NodeState::Suspended => "suspended",
        NodeState::Draining => "draining",
        NodeState::Removed => "gone",
    }
}

/// A reason as the tables have it; it stays when a variant is renamed.
fn reason(why: StateChangeCause) -> String {
    match why {
        StateChangeCause::EndpointUpdate(revision) => format!("List({revision})"),
        StateChangeCause::OperatorCommand => "Order".to_owned(),
        StateChangeCause::Handover => "Handover".to_owned(),
        StateChangeCause::AttemptEnded(end) => format!("Attempt({})", end.name()),
        StateChangeCause::TimePassed => "Time".to_owned(),
    }
}

impl Tables {
    /// Those of an incident.
    pub fn of(incident: &Incident) -> Self {
        let Incident { window, findings, .. } = incident;
        let name = |boot: usize| incident.boots[boot].scheduler.clone();
        let id = |boot: usize| format!("{:016x}", incident.boots[boot].boot);
        let mut new = Self {
            from: window.from,
            to: window.to,
            findings: findings.clone(),
            classes: Vec::new(),
            nodes: Vec::new(),
            states: Vec::new(),
            schedulers: Vec::new(),
            holes: Vec::new(),
            rules: Vec::new(),
        };
        for table in &incident.classes {
            let width = table.series.width();
            new.classes.extend(table.series.iter().map(|(from, counts)| ClassRow {
                class: table.name.clone(),
                from,
                width,
                at_least: incident.at_least(from, from + width),
                p50_ms: counts.times.quantile(0.5),
                p99_ms: counts.times.quantile(0.99),
                counts: counts.clone(),
            }));
        }
        for table in &incident.nodes {
            let width = table.series.width();
            new.nodes.extend(table.series.iter().map(|(from, counts)| NodeRow {
                node: table.name.clone(),
                from,
                width,
                at_least: incident.at_least(from, from + width),
                counts: counts.clone(),
            }));
            for lane in &table.lanes {
                new.states.extend(lane.spans.iter().map(|span| StateRow {
                    node: table.name.clone(),
                    scheduler: name(lane.boot),
                    boot: id(lane.boot),
                    from: span.from,
                    to: span.to,
                    state: word(span.state),
                    why: reason(span.why),
                }));
            }
        }
        new.schedulers.extend(incident.boots.iter().map(|boot| SchedulerRow {
            scheduler: boot.scheduler.clone(),
            boot: format!("{:016x}", boot.boot),
            from: boot.from,
            to: boot.to,
            ended: ending(boot.ending),
            ahead_us: boot.ahead,
            less_us: boot.offset.least.map(|least| boot.offset.value - least),
            more_us: boot.offset.most.map(|most| most - boot.offset.value),
            group: boot.offset.group,
        }));
        new.holes.extend(incident.holes.iter().map(|hole| HoleRow {
            scheduler: name(hole.boot),
            boot: id(hole.boot),
            from: hole.from,
            to: hole.to,
            events: hole.events,
            why: hole.why,
        }));
        new.rules.extend(Rule::ALL.iter().map(|rule| RuleRow {
            rule: rule.words(),
            at_least: !incident.holes.is_empty(),
            checked: incident.audit.of(*rule),
        }));
        new
    }

    /// One JSON object.
    ///
    /// # Errors
    /// None that the values here can cause.
    pub fn json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self)
    }

    /// The tables as CSV (RFC 4180), in the order of [`FILES`].
    pub fn csv(&self) -> [String; 7] {
        [
            self.findings_csv(),
            self.classes_csv(),
            self.nodes_csv(),
            self.states_csv(),
            self.schedulers_csv(),
            self.holes_csv(),
            self.rules_csv(),
        ]
    }

    fn findings_csv(&self) -> String {
        let rows = self.findings.iter().map(|finding| {
            vec![
                finding.at.to_string(),
                some(finding.until),
                finding.what.name().to_owned(),
                finding.subject.clone(),
                finding.text.clone(),
            ]
        });
        csv(&strings(&["at_us", "until_us", "what", "subject", "text"]), rows)
    }

    fn classes_csv(&self) -> String {
        let first = strings(&["class", "from_us", "width_us", "at_least", "taken", "in_aim", "late"]);
        let refused = columns("refused_", &SHED_REASON_NAMES.map(|(_, words)| words));
        let failed = columns("failed_", &FAILURE_REASON_NAMES.map(|(_, words)| words));
        let last = strings(&["gone", "p50_ms", "p99_ms"]);
        let rows = self.classes.iter().map(|row| {
            let ClassCounts { taken, in_aim, late, refused, failed, gone, .. } = &row.counts;
            let bin =
                [row.class.clone(), row.from.to_string(), row.width.to_string(), row.at_least.to_string()];
            let counts = [taken, in_aim, late].into_iter().chain(refused).chain(failed).chain([gone]);
            let times = [some(row.p50_ms), some(row.p99_ms)];
            bin.into_iter().chain(counts.map(u64::to_string)).chain(times).collect()
        });
        csv(&[first, refused, failed, last].concat(), rows)
    }

    fn nodes_csv(&self) -> String {
        let first = strings(&["node", "from_us", "width_us", "at_least", "sent", "cold_units", "most_out"]);
        let ends = columns("", &ATTEMPT_END_NAMES.map(|(_, words)| words));
        let rows = self.nodes.iter().map(|row| {
            let NodeCounts { sent, cold_units, ends, most_out } = &row.counts;
            let bin =
                [row.node.clone(), row.from.to_string(), row.width.to_string(), row.at_least.to_string()];
            let counts = [sent, cold_units, most_out].into_iter().chain(ends);
            bin.into_iter().chain(counts.map(u64::to_string)).collect()
        });
        csv(&[first, ends].concat(), rows)
    }

    fn states_csv(&self) -> String {
        let rows = self.states.iter().map(|row| {
            let StateRow { node, scheduler, boot, from, to, state, why } = row;
            vec![
                node.clone(),
                scheduler.clone(),
                boot.clone(),
                from.to_string(),
                to.to_string(),
                (*state).to_owned(),
                why.clone(),
            ]
        });
        csv(&strings(&["node", "scheduler", "boot", "from_us", "to_us", "state", "why"]), rows)
    }

    fn schedulers_csv(&self) -> String {
        let head = strings(&[
            "scheduler",
            "boot",
            "from_us",
            "to_us",
            "ended",
            "ahead_us",
            "less_us",
            "more_us",
            "group",
        ]);
        let rows = self.schedulers.iter().map(|row| {
            vec![
                row.scheduler.clone(),
                row.boot.clone(),
                row.from.to_string(),
                row.to.to_string(),
                row.ended.to_owned(),
                row.ahead_us.to_string(),
                some(row.less_us),
                some(row.more_us),
                row.group.to_string(),
            ]
        });
        csv(&head, rows)
    }

    fn holes_csv(&self) -> String {
        let rows = self.holes.iter().map(|row| {
            vec![
                row.scheduler.clone(),
                row.boot.clone(),
                row.from.to_string(),
                row.to.to_string(),
                row.events.to_string(),
                row.why.name().to_owned(),
            ]
        });
        csv(&strings(&["scheduler", "boot", "from_us", "to_us", "events", "why"]), rows)
    }

    fn rules_csv(&self) -> String {
        let rows = self.rules.iter().map(|row| {
            let Checked { looked, broken, .. } = &row.checked;
            vec![row.rule.to_owned(), looked.to_string(), broken.to_string(), row.at_least.to_string()]
        });
        csv(&strings(&["rule", "looked", "broken", "at_least"]), rows)
    }
}

fn strings(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Names of columns, made from words.
fn columns(prefix: &str, words: &[&str]) -> Vec<String> {
    words.iter().map(|words| format!("{prefix}{}", words.replace(' ', "_").replace(',', ""))).collect()
}

fn some(value: Option<impl ToString>) -> String {
    value.map_or(String::new(), |value| value.to_string())
}

fn csv(head: &[String], rows: impl Iterator<Item = Vec<String>>) -> String {
    let mut text = String::new();
    for row in std::iter::once(head.to_vec()).chain(rows) {
        for (place, field) in row.iter().enumerate() {
            let quoted = field.contains(['"', ',', '\n', '\r']);
            let comma = if place > 0 { "," } else { "" };
            // A string takes all that is written to it.
            let _ = match quoted {
                true => write!(text, "{comma}\"{}\"", field.replace('"', "\"\"")),
                false => write!(text, "{comma}{field}"),
            };
        }
        text.push_str("\r\n");
    }
    text
}
