//! What happened, in sentences with times and figures.

use heathward_event_log::{
    AttemptEnd, Lifecycle, Micros, NodeState, StateChangeCause, ATTEMPT_END_NAMES, FAILURE_REASON_NAMES,
    SHED_REASON_NAMES,
};
use serde::Serialize;

use crate::audit::Rule;
use crate::fold::Missing;
use crate::series::{ClassCounts, Sum, SECOND};
use crate::timeline::{Boot, Ending, Incident, NodeTable};

/// Schedulers that come to the same within that have seen the same.
const TOGETHER: Micros = 2_000_000;
/// A wall clock that is off by so much is worth a sentence.
const OFF: i64 = 100_000;
/// A class suffers where a smaller share of its requests than that is served in aim.
const SERVED: f64 = 0.9;
/// Fewer requests lost than that are none worth a sentence.
const LOST: u64 = 5;

/// What a finding is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum What {
    /// A node drained by the list.
    #[serde(rename = "Draining")]
    Draining,
    /// A node was taken out by hand.
    #[serde(rename = "Suspended")]
    Suspended,
    /// A node was down or silent.
    #[serde(rename = "Silent")]
    Silent,
    /// A node was cold.
    #[serde(rename = "Cold")]
    Cold,
    /// A node left the list.
    #[serde(rename = "Gone")]
    Gone,
    /// A scheduler ended without a last word.
    #[serde(rename = "Killed")]
    Killed,
    /// A scheduler began.
    #[serde(rename = "Started")]
    Started,
    /// A scheduler ended by plan.
    #[serde(rename = "Ended")]
    Ended,
    /// A process took over from another.
    #[serde(rename = "TookOver")]
    TookOver,
    /// Clients were sent away.
    #[serde(rename = "Paused")]
    Paused,
    /// Nothing was sent by a list that discovery no longer stood by.
    #[serde(rename = "Stopped")]
    Stopped,
    /// A configuration was not taken.
    #[serde(rename = "Refused")]
    Refused,
    /// A wall clock was off.
    #[serde(rename = "ClockOff")]
    ClockOff,
    /// A wall clock stepped.
    #[serde(rename = "ClockStep")]
    ClockStep,
    /// Records are missing.
    #[serde(rename = "Missing")]
    Missing,
    /// A class was not served as it should be.
    #[serde(rename = "Class")]
    Class,
    /// A rule was broken.
    #[serde(rename = "Breach")]
    Breach,
}

impl What {
    /// Its name in JSON and CSV; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::Draining => "Draining",
            Self::Suspended => "Suspended",
            Self::Silent => "Silent",
            Self::Cold => "Cold",
            Self::Gone => "Gone",
            Self::Killed => "Killed",
            Self::Started => "Started",
            Self::Ended => "Ended",
            Self::TookOver => "TookOver",
            Self::Paused => "Paused",
            Self::Stopped => "Stopped",
            Self::Refused => "Refused",
            Self::ClockOff => "ClockOff",
            Self::ClockStep => "ClockStep",
            Self::Missing => "Missing",
            Self::Class => "Class",
            Self::Breach => "Breach",
        }
    }
}

/// One sentence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// When it began, Unix time in microseconds on the common clock.
    #[serde(rename = "at")]
    pub at: Micros,
    /// When it ended, where it did.
    #[serde(rename = "until")]
    pub until: Option<Micros>,
    /// What it is about.
    #[serde(rename = "what")]
    pub what: What,
    /// The node, scheduler, class or rule.
    pub subject: String,
    /// The sentence.
    pub text: String,
}

/// `09:02:01.250`, in UTC.
pub fn clock(at: Micros) -> String {
    let (ms, seconds) = (at / 1000 % 1000, at / 1_000_000);
    let (hours, minutes) = (seconds / 3600 % 24, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{ms:03}", seconds % 60)
}

/// The size of a span of microseconds in whole milliseconds.
fn millis(span: i64) -> u64 {
    (span.unsigned_abs() + 500) / 1000
}

/// All that there is to say, in order of time.
pub fn of(incident: &Incident) -> Vec<Finding> {
    let mut all = Vec::new();
    incident.nodes.iter().for_each(|table| nodes(incident, table, &mut all));
    schedulers(incident, &mut all);
    classes(incident, &mut all);
    missing(incident, &mut all);
    rules(incident, &mut all);
    all.retain(|finding| incident.window.clip(finding.at, finding.until.unwrap_or(finding.at)).is_some());
    all.sort_by(|a, b| (a.at, a.what, &a.subject).cmp(&(b.at, b.what, &b.subject)));
    all
}

/// A while in which at least one scheduler treated a node so.
struct Episode {
    from: Micros,
    to: Micros,
    /// Whether it lasted to the last that is known of all who saw it.
    open: bool,
    why: StateChangeCause,
    /// When each that saw it did so first, by boot.
    seen: Vec<(Micros, usize)>,
}

fn kind(state: NodeState) -> Option<What> {
    match state {
        NodeState::InService => None,
        NodeState::SlowStart(_) => Some(What::Cold),
        NodeState::Unresponsive => Some(What::Silent),
        NodeState::Suspended => Some(What::Suspended),
        NodeState::Draining => Some(What::Draining),
        NodeState::Removed => Some(What::Gone),
    }
}

fn episodes(incident: &Incident, table: &NodeTable, what: What) -> Vec<Episode> {
    let mut spans = Vec::new();
    for lane in &table.lanes {
        let last = incident.boots[lane.boot].to.min(incident.window.to);
        for span in lane.spans.iter().filter(|span| kind(span.state) == Some(what)) {
            spans.push((span.from, span.to, span.to >= last, span.why, lane.boot));
        }
    }
    spans.sort_by_key(|span| (span.0, span.4));
    let mut episodes: Vec<Episode> = Vec::new();
    for (from, to, open, why, boot) in spans {
        match episodes.last_mut().filter(|episode| from <= episode.to + TOGETHER) {
            Some(episode) => {
                // It is over once one that saw it to its end says so, and nobody saw it later.
                episode.open = if to > episode.to { open } else { episode.open };
                episode.to = episode.to.max(to);
                if !episode.seen.iter().any(|(_, known)| *known == boot) {
                    episode.seen.push((from, boot));
                }
            }
            None => episodes.push(Episode { from, to, open, why, seen: vec![(from, boot)] }),
        }
    }
    episodes
}

fn cause(why: StateChangeCause) -> String {
    match why {
        StateChangeCause::EndpointUpdate(revision) => format!(" (list version {revision})"),
        StateChangeCause::OperatorCommand => " (by hand)".to_owned(),
        StateChangeCause::Handover => " (as the process before had it)".to_owned(),
        StateChangeCause::AttemptEnded(AttemptEnd::Served) => " (it answered)".to_owned(),
        StateChangeCause::AttemptEnded(end) => {
            let words =
                ATTEMPT_END_NAMES.iter().find(|(known, _)| *known == end).map_or("", |(_, words)| words);
            format!(" (attempts: {words})")
        }
        StateChangeCause::TimePassed => String::new(),
    }
}

fn nodes(incident: &Incident, table: &NodeTable, all: &mut Vec<Finding>) {
    let name = &table.name;
    for what in [What::Draining, What::Suspended, What::Silent, What::Cold, What::Gone] {
        for episode in episodes(incident, table, what) {
            let Episode { from, to, open, why, seen } = &episode;
            let until = (!open).then_some(*to);
            let verb = match what {
                What::Draining => "drained",
                What::Suspended => "was taken out",
                What::Silent => "was down or silent",
                What::Cold => "was cold",
                _ => "was not listed",
            };
            let mut names: Vec<&str> =
                seen.iter().map(|(_, b)| incident.boots[*b].scheduler.as_str()).collect();
            names.sort_unstable();
            names.dedup();
            // Who was first can't be told where clocks are known by just this; one that began later saw it
            // then.
            let there = seen.iter().filter(|(_, boot)| incident.boots[*boot].from <= *from);
            let apart = there.map(|(at, _)| at - from).max().unwrap_or(0) / 1000;
            let within = if names.len() > 1 { format!(" within {apart} ms") } else { String::new() };
            let by = format!("seen by {}{within}", names.join(", "));
            let end = until.map_or("to the last that is known".to_owned(), |to| format!("to {}", clock(to)));
            let text = format!("{name} {verb}{} from {} {end}; {by}.", cause(*why), clock(*from));
            all.push(Finding { at: *from, until, what, subject: name.clone(), text });
        }
    }
}

fn schedulers(incident: &Incident, all: &mut Vec<Finding>) {
    for (place, boot) in incident.boots.iter().enumerate() {
        start_and_end(incident, boot, all);
        lifecycle(boot, all);
        clocks(incident, place, boot, all);
    }
}

/// A finding about the scheduler of a boot.
fn of_scheduler(boot: &Boot, at: Micros, until: Option<Micros>, what: What, text: String) -> Finding {
    Finding { at, until, what, subject: boot.scheduler.clone(), text }
}

/// When a boot began, and how it ended.
fn start_and_end(incident: &Incident, boot: &Boot, all: &mut Vec<Finding>) {
    let name = &boot.scheduler;
    let text = format!("{name} began at {}.", clock(boot.from));
    all.push(of_scheduler(boot, boot.from, None, What::Started, text));
    let next = incident.boots.iter().filter(|b| b.scheduler == *name && b.from > boot.from);
    let next = next.map(|b| b.from).min();
    match (boot.ending, next) {
        (Ending::Running, _) => {}
        (Ending::Planned, _) => {
            let text = format!("{name} ended by plan at {}.", clock(boot.to));
            all.push(of_scheduler(boot, boot.to, None, What::Ended, text));
        }
        (Ending::Cut, Some(back)) => {
            let away = back.saturating_sub(boot.to) as f64 / 1e6;
            let text = format!(
                "{name} ended without a last word after {}, and began again {away:.1} s later.",
                clock(boot.to)
            );
            all.push(of_scheduler(boot, boot.to, Some(back), What::Killed, text));
        }
        // Its records go on to the end of all: it may be running.
        (Ending::Cut, None) if boot.to + 3 * SECOND >= last_word(incident) => {}
        (Ending::Cut, None) => {
            let text = format!("{name} ended without a last word after {}.", clock(boot.to));
            all.push(of_scheduler(boot, boot.to, None, What::Killed, text));
        }
    }
}

/// Takeovers, configurations that were not accepted, and the times in which a boot sent nothing or sent
/// clients away.
fn lifecycle(boot: &Boot, all: &mut Vec<Finding>) {
    let name = &boot.scheduler;
    let (mut paused, mut stopped) = (None, None);
    for (at, step) in &boot.lifecycle {
        match step {
            Lifecycle::TookOver => {
                let text = format!("A new process of {name} took over at {}.", clock(*at));
                all.push(of_scheduler(boot, *at, None, What::TookOver, text));
            }
            Lifecycle::Reloaded(false) => {
                let text =
                    format!("{name} did not take a configuration at {}; the old one stood.", clock(*at));
                all.push(of_scheduler(boot, *at, None, What::Refused, text));
            }
            Lifecycle::LeaseExpired(silence) => stopped = Some((*at, *silence)),
            Lifecycle::LeaseRenewed => {
                all.extend(
                    stopped.take().map(|(from, silence)| sent_nothing(boot, from, Some(*at), silence)),
                );
            }
            Lifecycle::Paused => paused = Some(*at),
            Lifecycle::Resumed => {
                all.extend(paused.take().map(|from| sent_clients_away(boot, from, Some(*at))));
            }
            _ => {}
        }
    }
    all.extend(stopped.map(|(from, silence)| sent_nothing(boot, from, None, silence)));
    all.extend(paused.map(|from| sent_clients_away(boot, from, None)));
}

/// A time in which nothing was sent, as discovery had been silent for so long; to the end of the records if
/// `until` is none.
fn sent_nothing(boot: &Boot, from: Micros, until: Option<Micros>, silence: Micros) -> Finding {
    let (name, silence) = (&boot.scheduler, silence / 1000);
    let to = until.map_or("on".to_owned(), |until| format!("to {}", clock(until)));
    let text =
        format!("{name} sent nothing from {} {to}: discovery had been silent for {silence} ms.", clock(from));
    of_scheduler(boot, from, until, What::Stopped, text)
}

/// A pause; to the end of the records if `until` is none.
fn sent_clients_away(boot: &Boot, from: Micros, until: Option<Micros>) -> Finding {
    let to = until.map_or("on".to_owned(), |until| format!("to {}", clock(until)));
    let text = format!("{} sent clients away from {} {to}.", boot.scheduler, clock(from));
    of_scheduler(boot, from, until, What::Paused, text)
}

/// A wall clock that was off at the start, and each of its steps.
fn clocks(incident: &Incident, place: usize, boot: &Boot, all: &mut Vec<Finding>) {
    let name = &boot.scheduler;
    if boot.ahead.abs() >= OFF {
        let word = if boot.ahead > 0 { "ahead" } else { "behind" };
        let text = format!(
            "{name}'s clock was {} ms {word} at {}{}.",
            millis(boot.ahead),
            clock(boot.from),
            known_to(incident, place)
        );
        all.push(of_scheduler(boot, boot.from, None, What::ClockOff, text));
    }
    for (at, by) in &boot.steps {
        let word = if *by > 0 { "forward" } else { "back" };
        let text = format!("{name}'s clock stepped {word} by {} ms at {}.", millis(*by), clock(*at));
        all.push(of_scheduler(boot, *at, None, What::ClockStep, text));
    }
}

fn last_word(incident: &Incident) -> Micros {
    incident.boots.iter().map(|boot| boot.to).max().unwrap_or(0)
}

/// How well a boot's clock is known.
pub fn known_to(incident: &Incident, place: usize) -> String {
    let offset = incident.boots[place].offset;
    let alone = incident.boots.iter().filter(|b| b.offset.group == offset.group).count() == 1;
    match (offset.least, offset.most) {
        _ if alone => ", by its own word: nothing connects it with others".to_owned(),
        (Some(least), Some(most)) => {
            let (less, more) = ((offset.value - least) / 1000, (most - offset.value) / 1000);
            format!(" (known to -{less}/+{more} ms)")
        }
        (Some(_), None) | (None, Some(_)) => " (known to one side)".to_owned(),
        (None, None) => String::new(),
    }
}

/// The largest of counts, in words.
fn most<T: Copy>(counts: &[u64], words: &[(T, &str)]) -> String {
    let mut told: Vec<(u64, &str)> = counts.iter().copied().zip(words.iter().map(|(_, w)| *w)).collect();
    told.retain(|(count, _)| *count > 0);
    told.sort_by(|a, b| b.cmp(a));
    let told: Vec<String> = told.iter().take(3).map(|(count, word)| format!("{word} {count}")).collect();
    told.join(", ")
}

/// A while in which a class was not served as it should be.
struct Ill {
    from: Micros,
    to: Micros,
    sum: ClassCounts,
    worst: f64,
}

fn classes(incident: &Incident, all: &mut Vec<Finding>) {
    for table in &incident.classes {
        let width = table.series.width();
        let share = |counts: &ClassCounts| counts.in_aim as f64 / counts.ended().max(1) as f64;
        let mut ills: Vec<Ill> = Vec::new();
        for (from, counts) in table.series.iter().filter(|(_, c)| c.ended() > 0 && share(c) < SERVED) {
            match ills.last_mut().filter(|ill| from <= ill.to + 2 * width) {
                Some(ill) => {
                    ill.to = from + width;
                    ill.sum.add(counts);
                    ill.worst = ill.worst.min(share(counts));
                }
                None => ills.push(Ill { from, to: from + width, sum: counts.clone(), worst: share(counts) }),
            }
        }
        for Ill { from, to, sum, worst } in ills {
            let (refused, failed) = (sum.refused.iter().sum::<u64>(), sum.failed.iter().sum::<u64>());
            if sum.late + refused + failed < LOST {
                continue;
            }
            let least = if incident.at_least(from, to) { "at least " } else { "" };
            let mut text = format!(
                "{}: {:.0}% served in aim from {} to {} (worst {:.0}%): {least}{} late, {refused} refused",
                table.name,
                share(&sum) * 100.0,
                clock(from),
                clock(to),
                worst * 100.0,
                sum.late
            );
            if refused > 0 {
                text.push_str(&format!(" ({})", most(&sum.refused, &SHED_REASON_NAMES)));
            }
            text.push_str(&format!(", {failed} failed"));
            if failed > 0 {
                text.push_str(&format!(" ({})", most(&sum.failed, &FAILURE_REASON_NAMES)));
            }
            text.push('.');
            let subject = table.name.clone();
            all.push(Finding { at: from, until: Some(to), what: What::Class, subject, text });
        }
    }
}

fn missing(incident: &Incident, all: &mut Vec<Finding>) {
    for hole in incident.holes.iter().filter(|hole| hole.why != Missing::Cut) {
        let name = &incident.boots[hole.boot].scheduler;
        let why = hole.why.words();
        let (from, to, events) = (clock(hole.from), clock(hole.to), hole.events);
        let text = format!("{events} records of {name} are missing from {from} to {to}: {why}.");
        let (at, until, subject) = (hole.from, Some(hole.to), name.clone());
        all.push(Finding { at, until, what: What::Missing, subject, text });
    }
}

fn rules(incident: &Incident, all: &mut Vec<Finding>) {
    for rule in Rule::ALL {
        let checked = incident.audit.of(rule);
        for breach in &checked.breaches {
            let by =
                if breach.scheduler.is_empty() { String::new() } else { format!(" at {}", breach.scheduler) };
            let text = format!("Rule broken ({}){by} at {}: {}.", rule.words(), clock(breach.at), breach.why);
            let subject = rule.words().to_owned();
            all.push(Finding { at: breach.at, until: None, what: What::Breach, subject, text });
        }
    }
}
