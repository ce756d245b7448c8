//! Judges a play by what the stand-ins logged, and by nothing that a scheduler says of itself. No I/O, no
//! clock.

use std::collections::BTreeMap;
use std::fmt;

mod answers;
mod span;

pub use span::Span;

/// Microseconds since the play began.
pub type Micros = u64;

/// A host, a node, a request.
pub type Number = u32;

/// What a stand-in, or the rig itself, saw.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// A client's request was written whole to a host.
    Asked {
        /// The request.
        call: Number,
        /// Whom it was asked of.
        host: Number,
        /// When its client began to connect. Each request has a connection of its own.
        connecting_at: Micros,
        /// When.
        at: Micros,
        /// Until when its client waits.
        until: Micros,
    },
    /// Its client stopped reading without an answer, the connection being open still.
    GaveUp {
        /// The request.
        call: Number,
        /// When.
        at: Micros,
    },
    /// It got a whole answer.
    Answered {
        /// The request.
        call: Number,
        /// When.
        at: Micros,
        /// The answer's status.
        status: u16,
    },
    /// An attempt came to a node.
    Arrived(Arrived),
    /// The node has answered it, or its connection has ended.
    AttemptOver {
        /// The request.
        call: Number,
        /// The node.
        node: Number,
        /// When.
        at: Micros,
    },
    /// A host was told, or counts as told, that a node drains or is gone.
    DrainNotified {
        /// Who was told.
        host: Number,
        /// Of which node.
        node: Number,
        /// When the node began to leave: if it is back since then, nothing counts as told.
        since: Micros,
        /// When.
        at: Micros,
    },
    /// A node is in service again, under the id that it had.
    NodeReturned {
        /// The node.
        node: Number,
        /// When.
        at: Micros,
    },
    /// A node began cold.
    NodeStarted {
        /// The node.
        node: Number,
        /// When.
        at: Micros,
    },
    /// The rig killed a host.
    Killed {
        /// The host.
        host: Number,
        /// From before the signal until its process was gone.
        span: Span,
        /// When it got SIGTERM before, if it did.
        terminated_at: Option<Micros>,
    },
    /// The rig stopped a host for a while.
    Stopped {
        /// The host.
        host: Number,
        /// From before SIGSTOP until after SIGCONT.
        span: Span,
    },
    /// A host was ready to run and got no processor, or the rig itself was not run: the machine's fault. An
    /// answer may be as much later.
    Starved {
        /// The host.
        host: Number,
        /// As long as it waited.
        span: Span,
    },
    /// What a host held at some moment.
    ResourcesUsed {
        /// The host.
        host: Number,
        /// When.
        at: Micros,
        /// Its memory at most so far.
        memory_kb: u64,
        /// Its descriptors.
        descriptors: u64,
    },
}

/// An attempt as a node saw it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrived {
    /// The request.
    pub call: Number,
    /// The host that sent it.
    pub host: Number,
    /// The node.
    pub node: Number,
    /// The shard that the node holds.
    pub node_shard: u32,
    /// The shard that the request is for.
    pub request_shard: u32,
    /// Its first byte and its last.
    pub first: Micros,
    /// Its last byte.
    pub last: Micros,
    /// The key of a write that may be repeated.
    pub key: Option<String>,
    /// Its volume.
    pub volume: u64,
    /// Its size.
    pub units: u32,
}

/// The rules' figures, as settings have them.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// An answer may be so late.
    pub slack: Micros,
    /// From SIGTERM on a host has so long to answer what it has taken; a kill after that excuses nothing.
    pub shutdown_time: Micros,
    /// Nothing new goes to a node so long after it was told to leave.
    pub grace: Micros,
    /// A keyed write may be sent again so long after it may have run first.
    pub window: Micros,
    /// A cold node: units that it bears warm in `fall`, its share at first, the time to the whole, the span
    /// that counts, and the multiple.
    pub cold: Cold,
    /// The rate limit of each volume; none where there is no limit.
    pub rate_limit: Option<RateLimit>,
    /// Memory of a host at most, kilobytes.
    pub max_memory_kb: u64,
    /// Descriptors of a host at most.
    pub max_descriptors: u64,
}

/// The rate limit of a volume, by all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Units a second.
    pub rate: f64,
    /// Units that a full token bucket holds.
    pub burst: f64,
}

/// The rule on cold nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Units that a warm node bears within `fall`.
    pub units: f64,
    /// Its share at first.
    pub share: f64,
    /// Until it is warm.
    pub time: Micros,
    /// The window.
    pub fall: Micros,
    /// Times its ability.
    pub multiple: f64,
}

/// Units of a request of mean work, as the settings of all scenarios tell them.
const MEAN_UNITS: f64 = 2.0;

impl Cold {
    /// Units that a node of that age may get in a window: N + 2 x root of N + 2 requests of mean work, N
    /// being the multiple of its ability.
    pub fn allowed(&self, age: Micros) -> f64 {
        let grown = (age as f64 / self.time as f64).min(1.0);
        let units = self.multiple * self.units * (self.share + (1.0 - self.share) * grown);
        let requests = units / MEAN_UNITS;
        (requests + 2.0 * requests.sqrt() + 2.0) * MEAN_UNITS
    }
}

/// Which rule was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request got no answer, or one past its time.
    Answer,
    /// A request got two answers.
    TwoAnswers,
    /// Two attempts of a request were out at once.
    AtOnce,
    /// A request came to a node that does not hold its shard.
    Shard,
    /// A keyed write was sent again after its window.
    Window,
    /// A first byte went to a node after its grace.
    Draining,
    /// A cold node got more than its multiple.
    SlowStart,
    /// A volume was sent more than its limit by all hosts together.
    RateLimit,
    /// A host held more memory or descriptors than it may.
    Resources,
}

impl Rule {
    /// The rule's name in what is printed; it stays when the variant is renamed.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answer => "Answer",
            Self::TwoAnswers => "TwoAnswers",
            Self::AtOnce => "AtOnce",
            Self::Shard => "Shard",
            Self::Window => "Window",
            Self::Draining => "Leaving",
            Self::SlowStart => "Cold",
            Self::RateLimit => "Limit",
            Self::Resources => "Held",
        }
    }
}

/// A rule broken, once.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When.
    pub at: Micros,
    /// By whom, and by how much.
    pub text: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {:.3} s: {}", self.rule.name(), self.at as f64 / 1e6, self.text)
    }
}

/// All that was broken, in order of time; `log` in whatever order.
pub fn judge(log: &[Entry], rules: &Rules) -> Vec<Breach> {
    let mut arrived: Vec<&Arrived> = log
        .iter()
        .filter_map(|entry| match entry {
            Entry::Arrived(arrived) => Some(arrived),
            _ => None,
        })
        .collect();
    arrived.sort_by_key(|arrived| arrived.last);
    let mut found = answers::judge(log, rules);
    found.extend(attempts(log, &arrived, rules));
    found.extend(leaving(log, &arrived, rules));
    found.extend(cold(log, &arrived, rules));
    found.extend(limits(&arrived, rules));
    for entry in log {
        let Entry::ResourcesUsed { host, at, memory_kb, descriptors } = entry else { continue };
        if *memory_kb > rules.max_memory_kb || *descriptors > rules.max_descriptors {
            let text = format!("host {host}: {memory_kb} KB, {descriptors} descriptors");
            found.push(Breach { rule: Rule::Resources, at: *at, text });
        }
    }
    found.sort_by_key(|breach| (breach.at, breach.rule));
    found
}

fn attempts(log: &[Entry], arrived: &[&Arrived], rules: &Rules) -> Vec<Breach> {
    let mut over: BTreeMap<(Number, Number), Vec<Micros>> = BTreeMap::new();
    for entry in log {
        if let Entry::AttemptOver { call, node, at } = entry {
            over.entry((*call, *node)).or_default().push(*at);
        }
    }
    let mut found = Vec::new();
    let mut before: BTreeMap<Number, Vec<&Arrived>> = BTreeMap::new();
    let mut keys: BTreeMap<&str, Micros> = BTreeMap::new();
    for attempt in arrived {
        let (call, node, at) = (attempt.call, attempt.node, attempt.last);
        let earlier = before.entry(call).or_default();
        let open = |other: &&&Arrived| {
            let ends = over.get(&(call, other.node)).map_or(&[][..], Vec::as_slice);
            !ends.iter().any(|end| *end >= other.last && *end <= attempt.last)
        };
        if let Some(other) = earlier.iter().find(open) {
            let text = format!("call {call} came to node {node} while it was out at node {}", other.node);
            found.push(Breach { rule: Rule::AtOnce, at, text });
        }
        earlier.push(attempt);
        if attempt.node_shard != attempt.request_shard {
            let text = format!("call {call} for shard {} came to node {node}", attempt.request_shard);
            found.push(Breach { rule: Rule::Shard, at, text });
        }
        if let Some(key) = &attempt.key {
            let first = *keys.entry(key).or_insert(at);
            if attempt.first > first + rules.window {
                let text = format!("key {key} was sent again {} us after the first", attempt.first - first);
                found.push(Breach { rule: Rule::Window, at, text });
            }
        }
    }
    found
}

fn leaving(log: &[Entry], arrived: &[&Arrived], rules: &Rules) -> Vec<Breach> {
    let mut told: BTreeMap<(Number, Number), Vec<(Micros, Micros)>> = BTreeMap::new();
    let mut back: BTreeMap<Number, Vec<Micros>> = BTreeMap::new();
    for entry in log {
        match entry {
            Entry::DrainNotified { host, node, since, at } => {
                told.entry((*host, *node)).or_default().push((*since, *at));
            }
            Entry::NodeReturned { node, at } => back.entry(*node).or_default().push(*at),
            _ => {}
        }
    }
    let late = |attempt: &&Arrived| {
        let back = back.get(&attempt.node).map_or(&[][..], Vec::as_slice);
        let stands = |(since, _): &&(Micros, Micros)| !back.iter().any(|b| b >= since && *b <= attempt.first);
        let told = told.get(&(attempt.host, attempt.node))?.iter().filter(stands);
        let told = told.map(|(_, at)| at).min()?;
        let late = attempt.first.checked_sub(told + rules.grace + 1)?;
        let text = format!("host {} to node {}: {late} us after its grace", attempt.host, attempt.node);
        Some(Breach { rule: Rule::Draining, at: attempt.first, text })
    };
    arrived.iter().filter_map(late).collect()
}

fn cold(log: &[Entry], arrived: &[&Arrived], rules: &Rules) -> Vec<Breach> {
    let mut found = Vec::new();
    for entry in log {
        let Entry::NodeStarted { node, at } = entry else { continue };
        let end = at + rules.cold.time;
        let got: Vec<&&Arrived> =
            arrived.iter().filter(|a| a.node == *node && a.last >= *at && a.last < end).collect();
        let mut from = 0;
        let mut sum = 0.0;
        for attempt in &got {
            sum += f64::from(attempt.units);
            while got[from].last + rules.cold.fall <= attempt.last {
                sum -= f64::from(got[from].units);
                from += 1;
            }
            let allowed = rules.cold.allowed(attempt.last - at);
            if sum > allowed {
                let text = format!("node {node}: {sum} units where {allowed:.1} are borne");
                found.push(Breach { rule: Rule::SlowStart, at: attempt.last, text });
                break;
            }
        }
    }
    found
}

fn limits(arrived: &[&Arrived], rules: &Rules) -> Vec<Breach> {
    let Some(RateLimit { rate, burst }) = rules.rate_limit else { return Vec::new() };
    let mut found = Vec::new();
    let mut stores: BTreeMap<u64, (f64, Micros)> = BTreeMap::new();
    let mut seen = std::collections::BTreeSet::new();
    for attempt in arrived.iter().filter(|attempt| seen.insert(attempt.call)) {
        let (left, at) = stores.entry(attempt.volume).or_insert((burst, attempt.last));
        *left = (*left + rate * (attempt.last - *at) as f64 / 1e6).min(burst) - f64::from(attempt.units);
        *at = attempt.last;
        if *left < 0.0 {
            let text = format!("volume {}: {:.1} units over its limit", attempt.volume, -*left);
            found.push(Breach { rule: Rule::RateLimit, at: attempt.last, text });
        }
    }
    found
}

/// The most load that any cold node had in a window, over what the rule lets it have, the slack aside.
pub fn most_cold(log: &[Entry], rules: &Rules) -> f64 {
    let mut most: f64 = 0.0;
    for entry in log {
        let Entry::NodeStarted { node, at } = entry else { continue };
        let got = |from: Micros| -> f64 {
            let within = |a: &Arrived| a.node == *node && a.last >= from && a.last < from + rules.cold.fall;
            log.iter()
                .map(
                    |e| {
                        if let Entry::Arrived(a) = e {
                            f64::from(a.units * u32::from(within(a)))
                        } else {
                            0.0
                        }
                    },
                )
                .sum()
        };
        for entry in log {
            let Entry::Arrived(a) = entry else { continue };
            if a.node == *node && a.last >= *at && a.last < at + rules.cold.time {
                let grown = (a.last - at) as f64 / rules.cold.time as f64;
                let ability = rules.cold.units * (rules.cold.share + (1.0 - rules.cold.share) * grown);
                most = most.max(got(a.last) / (rules.cold.multiple * ability));
            }
        }
    }
    most
}
