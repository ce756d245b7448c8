//! The simulator's wire: lines of tab-separated `name=value` pairs, told apart by their first word.

use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Write as _};
use std::hash::Hasher;
use std::io::BufRead;

use glenhollow::*;

use crate::Instance;

/// A line that does not follow the wire.
#[derive(Debug)]
pub struct Fault {
    line: u64,
    field: String,
    why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.field, self.why)
    }
}

/// Names that must go back unchanged, and those that become places in the settings.
#[derive(Default)]
pub struct Names {
    nodes: Vec<String>,
    node_ids: HashMap<String, NodeId>,
    zones: Vec<String>,
    classes: Vec<String>,
    plans: Vec<String>,
}

impl Names {
    fn node(&mut self, name: &str) -> NodeId {
        if let Some(&id) = self.node_ids.get(name) {
            return id;
        }
        let id = NodeId(self.nodes.len() as u32);
        self.nodes.push(name.to_owned());
        self.node_ids.insert(name.to_owned(), id);
        id
    }
}

/// One decoded event line.
pub enum Message {
    /// An instance comes up.
    Start { scheduler: Box<Scheduler>, names: Names },
    /// An instance dies.
    Kill,
    /// News for an instance's scheduler.
    Event(Event),
    /// Part of the wire that the interface has no use for.
    Unused,
}

/// Reads batches line by line.
pub struct Reader<R> {
    input: R,
    text: String,
    line: u64,
}

impl<R: BufRead> Reader<R> {
    /// A reader over the wire's input.
    pub fn new(input: R) -> Self {
        Self { input, text: String::new(), line: 0 }
    }

    /// A fault at the current line.
    pub fn fault(&self, field: &str, why: &str) -> Fault {
        Fault { line: self.line, field: field.to_owned(), why: why.to_owned() }
    }

    fn read_line(&mut self) -> Result<bool, Fault> {
        self.text.clear();
        self.line += 1;
        let size = self.input.read_line(&mut self.text).map_err(|e| self.fault("input", &e.to_string()))?;
        while self.text.ends_with(['\n', '\r']) {
            self.text.pop();
        }
        Ok(size > 0)
    }

    /// Reads the line that opens a batch; `None` at the end of the input.
    pub fn open_batch(&mut self) -> Result<Option<Micros>, Fault> {
        loop {
            if !self.read_line()? {
                return Ok(None);
            }
            if !self.text.is_empty() {
                break;
            }
        }
        let fields = Fields::new(&self.text, self.line);
        if fields.verb != "TURN" {
            return Err(self.fault("first word", &format!("expected TURN, found {:?}", fields.verb)));
        }
        fields.micros("simTimeMs").map(Some)
    }

    /// Reads the next event of the batch; `None` when it closes.
    pub fn next(&mut self, instances: &mut BTreeMap<u32, Instance>) -> Result<Option<(u32, Message)>, Fault> {
        if !self.read_line()? {
            return Err(self.fault("input", "ended inside a batch"));
        }
        if self.text == "OVER_TO_YOU" {
            return Ok(None);
        }
        let fields = Fields::new(&self.text, self.line);
        let who: u32 = fields.number("who")?;
        let verb = fields.verb.to_owned();
        match verb.as_str() {
            "ENLIST" => return start(&fields).map(|m| Some((who, m))),
            "KILL" => return Ok(Some((who, Message::Kill))),
            _ => {}
        }
        let Some(instance) = instances.get_mut(&who) else {
            return Err(fields.bad("who", "an instance that is not up"));
        };
        let names = &mut instance.names;
        let event = match verb.as_str() {
            "PEERS_KNOWN" => {
                let kind = match fields.need("form")? {
                    "D" => ListKind::Changes,
                    "F" => ListKind::Whole,
                    "C" => ListKind::Saved,
                    "X" => ListKind::Failed,
                    other => return Err(fields.bad("form", other)),
                };
                let count: usize = fields.or("entries", 0)?;
                let mut entries = Vec::new();
                for _ in 0..count {
                    if !self.read_line()? {
                        return Err(self.fault("entries", "input ended inside a list"));
                    }
                    entries.push(entry(&Fields::new(&self.text, self.line), names)?);
                }
                Event::List { kind, entries }
            }
            "NEW_REQUEST" => Event::Arrival(arrival(&fields, names)?),
            "CLOSED_ATTEMPT" => Event::Outcome(outcome(&fields, names)?),
            "STARTED" => Event::StreamBegun { request: RequestId(fields.number("xid")?) },
            "CLIENT_GONE" => Event::ClientGone { request: RequestId(fields.number("xid")?) },
            "FIRED" => Event::Wake { token: fields.number("handle")? },
            "MESSAGE" | "STATUS_BACK" => return Ok(Some((who, Message::Unused))),
            other => return Err(self.fault("first word", &format!("unknown event {other:?}"))),
        };
        Ok(Some((who, Message::Event(event))))
    }
}

/// The parts of one line.
struct Fields<'a> {
    verb: &'a str,
    rest: &'a str,
    line: u64,
}

impl<'a> Fields<'a> {
    fn new(text: &'a str, line: u64) -> Self {
        let (verb, rest) = text.split_once('\t').unwrap_or((text, ""));
        Self { verb, rest, line }
    }

    fn pairs(&self) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.rest.split('\t').filter_map(|part| part.split_once('='))
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    fn bad(&self, name: &str, value: &str) -> Fault {
        Fault { line: self.line, field: name.to_owned(), why: format!("impossible value {value:?}") }
    }

    fn need(&self, name: &str) -> Result<&'a str, Fault> {
        let why = "missing".to_owned();
        self.get(name).ok_or_else(|| Fault { line: self.line, field: name.to_owned(), why })
    }

    fn parse<T: std::str::FromStr>(&self, name: &str, value: &str) -> Result<T, Fault> {
        value.parse().map_err(|_| self.bad(name, value))
    }

    fn number<T: std::str::FromStr>(&self, name: &str) -> Result<T, Fault> {
        self.parse(name, self.need(name)?)
    }

    fn or<T: std::str::FromStr>(&self, name: &str, absent: T) -> Result<T, Fault> {
        self.get(name).map_or(Ok(absent), |value| self.parse(name, value))
    }

    fn flag(&self, name: &str) -> Result<bool, Fault> {
        match self.get(name) {
            None | Some("0") | Some("false") => Ok(false),
            Some("1") | Some("true") => Ok(true),
            Some(other) => Err(self.bad(name, other)),
        }
    }

    /// A figure that may not be negative, 0 where it is absent.
    fn figure(&self, name: &str) -> Result<f64, Fault> {
        let value: f64 = self.or(name, 0.0)?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(self.bad(name, &value.to_string()))
        }
    }

    /// A whole number that the wire may write with a fraction of zero.
    fn whole(&self, name: &str) -> Result<u32, Fault> {
        let value = self.figure(name)?;
        if value.fract() == 0.0 && value <= f64::from(u32::MAX) {
            Ok(value as u32)
        } else {
            Err(self.bad(name, &value.to_string()))
        }
    }

    fn span(&self, name: &str) -> Result<Micros, Fault> {
        let micros = (self.figure(name)? * 1000.0).round();
        if micros < 9.0e15 {
            Ok(micros as Micros)
        } else {
            Err(self.bad(name, "too large"))
        }
    }

    fn micros(&self, name: &str) -> Result<Micros, Fault> {
        self.need(name)?;
        self.span(name)
    }

    fn place(&self, name: &str, among: &[String]) -> Result<u16, Fault> {
        let value = self.need(name)?;
        among.iter().position(|n| n == value).map(|at| at as u16).ok_or_else(|| self.bad(name, value))
    }
}

/// Keys and volumes are only compared, so a stable hash of the name stands for it.
fn hashed(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

fn entry(fields: &Fields<'_>, names: &mut Names) -> Result<ListEntry, Fault> {
    if fields.verb != "M" {
        return Err(fields.bad("first word", fields.verb));
    }
    let state = match fields.need("lifecycle")? {
        "in_service" => NodeState::Ready,
        "terminating" => NodeState::Draining,
        "terminated" => NodeState::Gone,
        other => return Err(fields.bad("lifecycle", other)),
    };
    let zone = fields.get("az").unwrap_or("");
    let zone = names.zones.iter().position(|z| z == zone).unwrap_or_else(|| {
        names.zones.push(zone.to_owned());
        names.zones.len() - 1
    });
    let started = fields.span("bornMs")?;
    Ok(ListEntry {
        node: names.node(fields.need("node")?),
        shard: ShardId(fields.whole("cluster")?),
        zone: zone as u32,
        state,
        started: (started > 0).then_some(started),
    })
}

fn arrival(fields: &Fields<'_>, names: &Names) -> Result<Request, Fault> {
    let shard: f64 = fields.or("slotNo", -1.0)?;
    Ok(Request {
        id: RequestId(fields.number("xid")?),
        class: ClassId(fields.place("cls", &names.classes)?),
        plan: PlanId(fields.place("grade", &names.plans)?),
        volume: VolumeId(hashed(fields.get("shareId").unwrap_or(""))),
        units: fields.whole("units")?,
        left: fields.micros("graceMs")?,
        shard: if shard < 0.0 { None } else { Some(ShardId(fields.whole("slotNo")?)) },
        key: fields.get("item").map(|key| KeyId(hashed(key))),
        hosts: fields.whole("attached")?,
        repeat: fields.flag("isRetry")?,
    })
}

fn outcome(fields: &Fields<'_>, names: &mut Names) -> Result<Outcome, Fault> {
    let end = match fields.need("rc")? {
        "OK" => End::Served,
        "INTERNAL" => End::Error,
        "RESOURCE_EXHAUSTED" => End::Full,
        "DEADLINE_EXCEEDED" => End::TimedOut,
        "UNAVAILABLE" => End::NotConnected,
        "ABORTED" => End::Reset,
        "CANCELLED" => End::Cancelled,
        "TOO_LATE" => End::Moot,
        other => return Err(fields.bad("rc", other)),
    };
    let report = fields.get("telemetry").unwrap_or("");
    let busy = report.split(',').filter_map(|pair| pair.split_once(':'));
    let busy = busy.filter(|(name, _)| *name == "utilization").map(|(_, value)| value).next();
    let busy = busy.map(|value| fields.parse::<f64>("telemetry", value)).transpose()?;
    Ok(Outcome {
        request: RequestId(fields.number("xid")?),
        attempt: fields.number("sendNo")?,
        node: names.node(fields.need("node")?),
        end,
        closed: fields.flag("doneFlag")?,
        took: fields.micros("elapsedMs")?,
        used: fields.whole("seenUse")?.checked_sub(1),
        elsewhere: fields.get("foreignUnits").map(|_| fields.whole("foreignUnits")).transpose()?,
        busy,
    })
}

fn start(fields: &Fields<'_>) -> Result<Message, Fault> {
    let mut names = Names::default();
    let mut classes = Vec::new();
    for i in 0..fields.whole("lanes.count")? {
        let at = |key: &str| format!("lanes.{i}.{key}");
        names.classes.push(fields.need(&at("name"))?.to_owned());
        classes.push(ClassSettings {
            aim: fields.span(&at("aimMs"))?,
            deadline: fields.span(&at("deadlineMs"))?,
            worth: fields.figure(&at("credit"))?,
            late_worth: fields.figure(&at("lateWorth"))?,
            effect: match fields.get(&at("repeat")).unwrap_or("single_shot") {
                "free" => Effect::Safe,
                "guarded" => Effect::Keyed,
                "single_shot" => Effect::Unsafe,
                other => return Err(fields.bad(&at("repeat"), other)),
            },
            group: match fields.get(&at("dedupScope")).unwrap_or("cell") {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Shard,
                other => return Err(fields.bad(&at("dedupScope"), other)),
            },
            window: fields.span(&at("dedupWindowMs"))?,
            in_order: fields.flag(&at("inTurn"))?,
        });
    }
    let mut plans = Vec::new();
    for i in 0..fields.whole("contracts.count")? {
        let at = |key: &str| format!("contracts.{i}.{key}");
        names.plans.push(fields.need(&at("name"))?.to_owned());
        plans.push(PlanSettings {
            rate: fields.figure(&at("usualRate"))?,
            reserve: fields.figure(&at("reserve"))?,
            weight: fields.figure(&at("parts"))?,
            price: fields.figure(&at("price"))?,
            limit: fields.figure(&at("ceilingRate"))?,
            burst: fields.figure(&at("burst"))?,
        });
    }
    let share = fields.figure("safety.extraRatio")?;
    let free = fields.figure("safety.budgetFree")?;
    let attempt_budget = match fields.span("safety.budgetSpanMs")? {
        0 => None,
        span => Some(AttemptBudget { free, share, span }),
    };
    let list = match fields.get("discovery").unwrap_or("pushed") {
        "pushed" => ListMode::Pushed,
        "on_request" => ListMode::Asked { within: fields.span("safety.mustAskInMs")? },
        other => return Err(fields.bad("discovery", other)),
    };
    let hints = fields.flag("limits.retryAfter")?;
    let settings = Settings {
        hosts: fields.whole("balancers")?,
        host: fields.whole("slotNo")?,
        classes,
        plans,
        mean_units: fields.figure("familyInfo.unitMean")?,
        most_units: fields.figure("familyInfo.maxUnits")?.ceil() as u32,
        share_worth: fields.figure("familyInfo.withinShare")?,
        spare_worth: fields.figure("familyInfo.spareWorth")?,
        meter: fields.span("familyInfo.meterPeriodMs")?,
        max_attempts: fields.whole("limits.sendCap")?,
        max_retry_after: if hints { fields.span("limits.maxRetryAfterMs")? } else { 0 },
        tick: fields.span("resolutionMs")?,
        cold_units: fields.figure("familyInfo.youngLimit")?,
        cold_share: fields.figure("safety.coldShare")?,
        cold_time: fields.span("safety.coldMs")?,
        fall_time: fields.span("safety.fallMs")?,
        key_rest: fields.span("safety.keyQuietMs")?,
        attempt_budget,
        list,
    };
    let scheduler = Scheduler::new(settings, fields.number("prng")?).map_err(|e| Fault {
        line: fields.line,
        field: "env".to_owned(),
        why: e.to_string(),
    })?;
    Ok(Message::Start { scheduler: Box::new(scheduler), names })
}

/// Milliseconds with up to three decimals.
struct Ms(Micros);

impl fmt::Display for Ms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1000, self.0 % 1000)
    }
}

/// Appends one action as a line.
pub fn encode(text: &mut String, who: u32, action: &Action, names: &Names) {
    let written = match action {
        Action::Send { request, node, give_up } => {
            let node = names.nodes.get(node.0 as usize).map_or("", String::as_str);
            write!(text, "DELIVER\twho={who}\txid={}\tnode={node}", request.0).and_then(|()| match give_up {
                Some(span) => write!(text, "\tlimitMs={}", Ms(*span)),
                None => Ok(()),
            })
        }
        Action::Refuse { request, retry_after } => write!(text, "SHED\twho={who}\txid={}", request.0)
            .and_then(|()| match retry_after {
                Some(span) => write!(text, "\tretryAfterMs={}", Ms(*span)),
                None => Ok(()),
            }),
        Action::Fail { request } => write!(text, "ABORT\twho={who}\txid={}", request.0),
        Action::Wake { token, at } => {
            write!(text, "NOTIFY_ME\twho={who}\thandle={token}\twhenMs={}", Ms(*at))
        }
        Action::Subscribe => write!(text, "TAIL\twho={who}\tenable=1"),
        Action::Log { text: line, node } => {
            let node = node.and_then(|n| names.nodes.get(n.0 as usize)).map_or("", String::as_str);
            let line = line.replace(['\n', '\r', '\t'], " ");
            write!(text, "REMARK\twho={who}\tbodyText={line} {node}")
        }
    };
    written.expect("writing to a string cannot fail");
    text.push('\n');
}
