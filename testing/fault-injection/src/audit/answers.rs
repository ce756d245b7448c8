//! The rule on answers: each request has one, in its time. Only what the rig did to its scheduler, or the
//! machine to one of them, excuses a request, and no more than that explains.

use std::collections::BTreeMap;

use super::span::{merged, Span};
use super::{Breach, Entry, Micros, Number, Rule, Rules};

/// A request as its client sent it.
#[derive(Clone, Copy, Debug)]
struct Request {
    call: Number,
    host: Number,
    connecting_at: Micros,
    sent_at: Micros,
    deadline: Micros,
}

/// A process that the rig killed.
#[derive(Clone, Copy, Debug)]
struct Kill {
    span: Span,
    terminated_at: Option<Micros>,
}

/// What was done to a scheduler.
#[derive(Clone, Debug, Default)]
struct Disturbances {
    kills: Vec<Kill>,
    /// When its process, or the rig, did not run; in order and apart from each other.
    stalls: Vec<Span>,
}

/// What the log has on requests and their schedulers, by number.
#[derive(Debug, Default)]
struct Evidence {
    requests: Vec<Request>,
    answers: BTreeMap<Number, Vec<Micros>>,
    given_up: BTreeMap<Number, Micros>,
    disturbances: BTreeMap<Number, Disturbances>,
}

/// The requests without an answer in time, and those with two.
pub(super) fn judge(log: &[Entry], rules: &Rules) -> Vec<Breach> {
    let evidence = Evidence::collect(log);
    let undisturbed = Disturbances::default();
    let mut found = Vec::new();
    for request in &evidence.requests {
        let answers = evidence.answers.get(&request.call).map_or(&[][..], Vec::as_slice);
        if let [_, second, ..] = answers {
            let text = format!("call {} at host {}: {} answers", request.call, request.host, answers.len());
            found.push(Breach { rule: Rule::TwoAnswers, at: *second, text });
        }
        let disturbances = evidence.disturbances.get(&request.host).unwrap_or(&undisturbed);
        let given_up = evidence.given_up.get(&request.call).copied();
        found.extend(missed(request, answers.first().copied(), given_up, disturbances, rules));
    }
    found
}

/// The breach if a request had no answer in its time.
fn missed(
    request: &Request,
    answer: Option<Micros>,
    given_up: Option<Micros>,
    disturbances: &Disturbances,
    rules: &Rules,
) -> Option<Breach> {
    let last = request.deadline + rules.slack;
    let due = disturbances.extended(request.sent_at, last);
    let is_in_time = match (answer, given_up) {
        (Some(answered_at), _) => answered_at <= due,
        // Its client stopped reading before the answer was due.
        (None, Some(given_up_at)) => given_up_at < due,
        (None, None) => false,
    };
    if is_in_time || disturbances.excuse_by_kill(request, last, rules) {
        return None;
    }
    let outcome = match answer {
        Some(answer) => format!("{} us late", answer - request.deadline),
        None => "no answer".to_owned(),
    };
    let text = format!("call {} at host {}: {outcome}", request.call, request.host);
    Some(Breach { rule: Rule::Answer, at: last, text })
}

impl Disturbances {
    /// A time limit that began at `from`, later by as much of it as was lost to stalls.
    fn extended(&self, from: Micros, limit: Micros) -> Micros {
        let mut due = limit;
        for stall in &self.stalls {
            let lost_from = stall.from.max(from);
            if lost_from >= due {
                break;
            }
            due += stall.to.saturating_sub(lost_from);
        }
        due
    }

    /// Whether a kill explains that the request has no answer: its connection was made to the process that
    /// was killed, and its time was not over before. A kill that comes as late after SIGTERM as the platform
    /// grants explains nothing.
    fn excuse_by_kill(&self, request: &Request, last: Micros, rules: &Rules) -> bool {
        self.kills.iter().any(|kill| {
            let had_its_time =
                kill.terminated_at.is_some_and(|at| kill.span.from >= at + rules.shutdown_time);
            !had_its_time && request.connecting_at <= kill.span.to && last >= kill.span.from
        })
    }
}

impl Evidence {
    fn collect(log: &[Entry]) -> Self {
        let mut evidence = Self::default();
        for entry in log {
            evidence.add(entry);
        }
        for disturbances in evidence.disturbances.values_mut() {
            disturbances.stalls = merged(std::mem::take(&mut disturbances.stalls));
        }
        evidence
    }

    fn add(&mut self, entry: &Entry) {
        match *entry {
            Entry::Asked { call, host, connecting_at, at, until } => {
                self.requests.push(Request { call, host, connecting_at, sent_at: at, deadline: until });
            }
            Entry::Answered { call, at, .. } => self.answers.entry(call).or_default().push(at),
            Entry::GaveUp { call, at } => {
                self.given_up.insert(call, at);
            }
            Entry::Killed { host, span, terminated_at } => {
                let kills = &mut self.disturbances.entry(host).or_default().kills;
                kills.push(Kill { span, terminated_at });
            }
            Entry::Stopped { host, span } | Entry::Starved { host, span } => {
                self.disturbances.entry(host).or_default().stalls.push(span);
            }
            _ => {}
        }
    }
}
