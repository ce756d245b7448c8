//! The page.

use heathward_event_log::{Micros, NodeState, ATTEMPT_END_NAMES, FAILURE_REASON_NAMES, SHED_REASON_NAMES};
use heathward_incident::audit::Rule;
use heathward_incident::findings::{clock, known_to, What};
use heathward_incident::{Incident, NodeCounts, Sum};
use maud::{html, Markup, PreEscaped, DOCTYPE};
use plotters::style::RGBColor;

use crate::charts;
use crate::tables::{ending, word};

const STYLE: &str = "
body{font:14px/1.45 system-ui,sans-serif;color:#222;max-width:1120px;margin:24px auto;padding:0 16px}
h1{font-size:22px;margin:0 0 4px}h2{font-size:17px;margin:32px 0 8px;border-bottom:1px solid #ddd}
h3{font-size:14px;margin:18px 0 2px}p{margin:4px 0}
table{border-collapse:collapse;width:100%;font-size:13px}th,td{text-align:left;padding:3px 8px;
border-bottom:1px solid #eee;vertical-align:top}th{font-weight:600;background:#f6f6f6}
td.n,th.n{text-align:right;font-variant-numeric:tabular-nums}
.key{display:inline-block;width:12px;height:12px;margin:0 4px 0 14px;vertical-align:-1px;
border:1px solid #999}
.bad{color:#a33000;font-weight:600}.good{color:#00734f;font-weight:600}.dim{color:#666}
svg{display:block;max-width:100%;height:auto}td.t{white-space:nowrap;font-variant-numeric:tabular-nums}
@media print{h2{break-after:avoid}svg{break-inside:avoid}}";

/// The whole page; it needs nothing else and runs no script.
pub fn html(incident: &Incident) -> String {
    let window = incident.window;
    let title = format!("Incident {} to {}", clock(window.from), clock(window.to));
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width,initial-scale=1";
                title { (title) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { (title) " UTC" }
                (summary(incident))
                h2 { "Findings" }
                (findings(incident))
                h2 { "Nodes, as each scheduler treated them" }
                (legend(&[
                    NodeState::InService, NodeState::SlowStart(0), NodeState::Unresponsive,
                    NodeState::Suspended, NodeState::Draining, NodeState::Removed,
                ].map(|state| (charts::colour(state), word(state)))))
                p.dim { "A row for each node; within it, from above, " (names(incident).join(", ")) "." }
                (PreEscaped(charts::lanes(incident)))
                h2 { "Service of each class" }
                (legend(&[
                    (charts::IN_AIM, "served in aim"), (charts::LATE, "served late"),
                    (charts::REFUSED, "refused"),
                    (charts::FAILED, "failed"), (charts::GONE, "client left"),
                ]))
                @for table in &incident.classes {
                    h3 { (table.name) }
                    (PreEscaped(charts::service(incident, &table.series)))
                    p.dim { "Times: p50 black, p99 red, the aim green; darker where more of them lie." }
                    (PreEscaped(charts::times(incident, &table.series, table.aim)))
                }
                (classes(incident))
                h2 { "Attempts at each node" }
                p.dim { "Blue: sent; red: did not serve. All on one scale." }
                @let most = charts::most_attempts(incident);
                @for table in &incident.nodes {
                    h3 { (table.name) }
                    (PreEscaped(charts::attempts(incident, &table.series, most)))
                }
                (nodes(incident))
                h2 { "Rules" }
                (rules(incident))
                h2 { "What is missing" }
                (missing(incident))
                h2 { "Schedulers and their clocks" }
                (schedulers(incident))
            }
        }
    };
    page.into_string()
}

fn names(incident: &Incident) -> Vec<&str> {
    let mut names: Vec<&str> = incident.boots.iter().map(|boot| boot.scheduler.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    names
}

fn legend(keys: &[(RGBColor, &str)]) -> Markup {
    let grey = (charts::UNKNOWN, "nothing known");
    html! {
        p {
            @for (RGBColor(r, g, b), word) in keys.iter().chain([&grey]) {
                span.key style=(format!("background:rgb({r},{g},{b})")) {} (word)
            }
        }
    }
}

fn span(incident: &Incident, from: Micros, to: Micros) -> &'static str {
    if incident.at_least(from, to) {
        "at least "
    } else {
        ""
    }
}

fn summary(incident: &Incident) -> Markup {
    let broken = incident.audit_broken();
    let count = |what: What| incident.findings.iter().filter(|f| f.what == what).count();
    let window = incident.window;
    html! {
        p {
            (names(incident).len()) " schedulers (" (incident.boots.len()) " runs), " (incident.nodes.len())
            " nodes, " (format!("{:.1}", (window.to - window.from) as f64 / 1e6)) " s. "
            (count(What::Draining)) " times a node drained, "
            (count(What::Suspended)) " times one was taken out by hand, "
            (count(What::Silent)) " times one fell silent, "
            (count(What::Killed)) " times a scheduler was lost."
        }
        p {
            @if broken > 0 { span.bad { "Rules broken " (broken) " times." } }
            @else { span.good { "No rule was seen broken" } "; what is missing can't be judged." }
            " "
            @if incident.holes.is_empty() { "Records are whole." }
            @else {
                span.bad { "Holes in the records: " (incident.holes.len()) }
                "; counts over them say “at least”."
            }
        }
    }
}

fn findings(incident: &Incident) -> Markup {
    let bad =
        |what: What| matches!(what, What::Breach | What::Killed | What::Silent | What::Missing | What::Class);
    html! {
        table {
            tr { th { "From" } th { "To" } th { "What" } }
            @for finding in &incident.findings {
                tr {
                    td.t { (clock(finding.at)) }
                    td.t { @if let Some(until) = finding.until { (clock(until)) } }
                    td class=(if bad(finding.what) { "bad" } else { "" }) { (finding.text) }
                }
            }
        }
    }
}

fn classes(incident: &Incident) -> Markup {
    let window = incident.window;
    let least = span(incident, window.from, window.to);
    html! {
        table {
            tr {
                th { "Class" } th.n { "Taken" } th.n { "In aim" } th.n { "Late" }
                th { "Refused" } th { "Failed" } th.n { "Client left" } th.n { "p50" } th.n { "p99" }
            }
            @for table in &incident.classes {
                @let total = table.series.total();
                tr {
                    td { (table.name) }
                    td.n { (least) (total.taken) }
                    td.n { (least) (total.in_aim) }
                    td.n { (least) (total.late) }
                    td { (counted(&total.refused, &SHED_REASON_NAMES.map(|(_, word)| word))) }
                    td { (counted(&total.failed, &FAILURE_REASON_NAMES.map(|(_, word)| word))) }
                    td.n { (total.gone) }
                    @for share in [0.5, 0.99] {
                        td.n { @if let Some(ms) = total.times.quantile(share) { (format!("{ms:.0} ms")) } }
                    }
                }
            }
        }
    }
}

/// All and, where there are any, each by its word.
fn counted(counts: &[u64], words: &[&str]) -> String {
    let all: u64 = counts.iter().sum();
    let some = counts.iter().zip(words).filter(|(count, _)| **count > 0);
    let each: Vec<String> = some.map(|(count, word)| format!("{word} {count}")).collect();
    if each.is_empty() {
        "0".to_owned()
    } else {
        format!("{all} ({})", each.join(", "))
    }
}

fn nodes(incident: &Incident) -> Markup {
    let window = incident.window;
    let least = span(incident, window.from, window.to);
    let row = |name: &str, counts: &NodeCounts| {
        html! {
            tr {
                td { (name) }
                td.n { (least) (counts.sent) }
                @for count in counts.ends { td.n { (count) } }
                td.n { (counts.most_out) }
                td.n { (counts.cold_units) }
            }
        }
    };
    let mut all = NodeCounts::default();
    incident.nodes.iter().for_each(|table| all.add(&table.series.total()));
    html! {
        table {
            tr {
                th { "Node" } th.n { "Sent" }
                @for (_, word) in ATTEMPT_END_NAMES { th.n { (word) } }
                th.n { "Most at once" } th.n { "Units while cold" }
            }
            @for table in &incident.nodes { (row(&table.name, &table.series.total())) }
            (row("all", &all))
        }
    }
}

fn rules(incident: &Incident) -> Markup {
    html! {
        table {
            tr { th { "Rule" } th.n { "Looked at" } th.n { "Broken" } th { "Seen" } }
            @for rule in Rule::ALL {
                @let checked = incident.audit.of(rule);
                tr {
                    td { (rule.words()) }
                    td.n { (checked.looked) }
                    td.n class=(if checked.broken > 0 { "bad" } else { "" }) { (checked.broken) }
                    td {
                        @if checked.looked == 0 { "not recorded" }
                        @for breach in &checked.breaches {
                            p { (clock(breach.at)) " " (breach.scheduler) ": " (breach.why) }
                        }
                    }
                }
            }
        }
    }
}

fn missing(incident: &Incident) -> Markup {
    html! {
        @if incident.holes.is_empty() { p { "Nothing." } }
        @else {
            table {
                tr { th { "Scheduler" } th { "From" } th { "To" } th.n { "Events" } th { "Why" } }
                @for hole in &incident.holes {
                    tr {
                        td { (incident.boots[hole.boot].scheduler) }
                        td.t { (clock(hole.from)) }
                        td.t { (clock(hole.to)) }
                        td.n { @if hole.events > 0 { (hole.events) } @else { "not known" } }
                        td { (hole.why.words()) }
                    }
                }
            }
        }
    }
}

fn schedulers(incident: &Incident) -> Markup {
    html! {
        @if incident.contradictory {
            p.bad { "What the schedulers saw contradicts itself: each clock was taken at its word." }
        }
        table {
            tr { th { "Scheduler" } th { "Run" } th { "From" } th { "To" } th { "End" } th { "Its clock" } }
            @for (place, boot) in incident.boots.iter().enumerate() {
                tr {
                    td { (boot.scheduler) }
                    td { (format!("{:016x}", boot.boot)) }
                    td.t { (clock(boot.from)) }
                    td.t { (clock(boot.to)) }
                    td { (ending(boot.ending)) }
                    td { (format!("{:+} ms", boot.ahead / 1000)) (known_to(incident, place)) }
                }
            }
        }
    }
}
