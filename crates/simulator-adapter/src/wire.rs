//! The simulator's wire: lines of tab-separated `name=value` pairs, told apart by their first word.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Write as _};
use std::hash::Hasher;
use std::io::BufRead;

use heathward_policy::settings::{ConfigError, Deployment, SettingsSource};
use heathward_policy::{
    Action, AttemptEnd, AttemptOutcome, ClassId, EndpointEntry, EndpointUpdateKind, Event, KeyId, Micros,
    NodeId, NodeState, PlanId, Request, RequestId, Scheduler, ShardId, VolumeId,
};

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

    fn read_line(&mut self) -> Result<bool, ConfigError> {
        self.text.clear();
        self.line += 1;
        let size = self.input.read_line(&mut self.text);
        let size = size.map_err(|e| ConfigError { field: "input".to_owned(), reason: e.to_string() })?;
        while self.text.ends_with(['\n', '\r']) {
            self.text.pop();
        }
        Ok(size > 0)
    }

    /// Reads the line that opens a batch; `None` at the end of the input.
    pub fn open_batch(&mut self) -> Result<Option<Micros>, Fault> {
        self.opening().map_err(|error| self.fault(&error.field, &error.reason))
    }

    fn opening(&mut self) -> Result<Option<Micros>, ConfigError> {
        loop {
            if !self.read_line()? {
                return Ok(None);
            }
            if !self.text.is_empty() {
                break;
            }
        }
        let fields = Fields::new(&self.text);
        if fields.verb != "TURN" {
            let why = format!("expected TURN, found {:?}", fields.verb);
            return Err(ConfigError { field: "first word".to_owned(), reason: why });
        }
        fields.required_duration_from_ms("simTimeMs").map(Some)
    }

    /// Reads the next event of the batch; `None` when it closes.
    pub fn next(&mut self, instances: &mut BTreeMap<u32, Instance>) -> Result<Option<(u32, Message)>, Fault> {
        self.event(instances).map_err(|error| self.fault(&error.field, &error.reason))
    }

    fn event(
        &mut self,
        instances: &mut BTreeMap<u32, Instance>,
    ) -> Result<Option<(u32, Message)>, ConfigError> {
        if !self.read_line()? {
            return Err(ConfigError { field: "input".to_owned(), reason: "ended inside a batch".to_owned() });
        }
        if self.text == "OVER_TO_YOU" {
            return Ok(None);
        }
        let fields = Fields::new(&self.text);
        let who: u32 = fields.required_number("who")?;
        let verb = fields.verb.to_owned();
        match verb.as_str() {
            "ENLIST" => return start(&fields).map(|m| Some((who, m))),
            "KILL" => return Ok(Some((who, Message::Kill))),
            _ => {}
        }
        let Some(instance) = instances.get_mut(&who) else {
            return Err(ConfigError::invalid("who", "an instance that is not up"));
        };
        let names = &mut instance.names;
        let event = match verb.as_str() {
            "PEERS_KNOWN" => {
                let kind = match &*fields.required("form")? {
                    "D" => EndpointUpdateKind::Changes,
                    "F" => EndpointUpdateKind::Snapshot,
                    "C" => EndpointUpdateKind::Cached,
                    "X" => EndpointUpdateKind::Failed,
                    other => return Err(ConfigError::invalid("form", other)),
                };
                let count: usize = fields.number_or("entries", 0)?;
                let mut entries = Vec::new();
                for _ in 0..count {
                    if !self.read_line()? {
                        let why = "input ended inside a list".to_owned();
                        return Err(ConfigError { field: "entries".to_owned(), reason: why });
                    }
                    entries.push(entry(&Fields::new(&self.text), names)?);
                }
                Event::EndpointUpdate { kind, entries }
            }
            "NEW_REQUEST" => Event::RequestArrived(arrival(&fields, names)?),
            "CLOSED_ATTEMPT" => Event::AttemptEnded(outcome(&fields, names)?),
            "STARTED" => Event::StreamStarted { request: RequestId(fields.required_number("xid")?) },
            "CLIENT_GONE" => Event::ClientDisconnected { request: RequestId(fields.required_number("xid")?) },
            "FIRED" => Event::TimerFired { token: fields.required_number("handle")? },
            "MESSAGE" | "STATUS_BACK" => return Ok(Some((who, Message::Unused))),
            other => {
                let why = format!("unknown event {other:?}");
                return Err(ConfigError { field: "first word".to_owned(), reason: why });
            }
        };
        Ok(Some((who, Message::Event(event))))
    }
}

/// The parts of one line.
struct Fields<'a> {
    verb: &'a str,
    rest: &'a str,
}

impl<'a> Fields<'a> {
    fn new(text: &'a str) -> Self {
        let (verb, rest) = text.split_once('\t').unwrap_or((text, ""));
        Self { verb, rest }
    }

    fn pairs(&self) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.rest.split('\t').filter_map(|part| part.split_once('='))
    }
}

impl SettingsSource for Fields<'_> {
    fn get(&self, name: &str) -> Option<Cow<'_, str>> {
        self.pairs().find(|(key, _)| *key == name).map(|(_, value)| value.into())
    }
}

/// Keys and volumes are only compared, so a stable hash of the name stands for it.
fn hashed(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

fn entry(fields: &Fields<'_>, names: &mut Names) -> Result<EndpointEntry, ConfigError> {
    if fields.verb != "M" {
        return Err(ConfigError::invalid("first word", fields.verb));
    }
    let state = match &*fields.required("lifecycle")? {
        "in_service" => NodeState::Ready,
        "terminating" => NodeState::Draining,
        "terminated" => NodeState::Removed,
        other => return Err(ConfigError::invalid("lifecycle", other)),
    };
    let zone = fields.get("az").unwrap_or_default();
    let zone = names.zones.iter().position(|z| *z == zone).unwrap_or_else(|| {
        names.zones.push(zone.into_owned());
        names.zones.len() - 1
    });
    let started = fields.duration_from_ms("bornMs")?;
    Ok(EndpointEntry {
        node: names.node(&fields.required("node")?),
        shard: ShardId(fields.whole_number("cluster")?),
        zone: zone as u32,
        state,
        started_at: (started > 0).then_some(started),
    })
}

fn arrival(fields: &Fields<'_>, names: &Names) -> Result<Request, ConfigError> {
    let shard: f64 = fields.number_or("slotNo", -1.0)?;
    Ok(Request {
        id: RequestId(fields.required_number("xid")?),
        class: ClassId(fields.index_of("cls", &names.classes)?),
        plan: PlanId(fields.index_of("grade", &names.plans)?),
        volume: VolumeId(hashed(&fields.get("shareId").unwrap_or_default())),
        units: fields.whole_number("units")?,
        time_budget: fields.required_duration_from_ms("graceMs")?,
        shard: if shard < 0.0 { None } else { Some(ShardId(fields.whole_number("slotNo")?)) },
        key: fields.get("item").map(|key| KeyId(hashed(&key))),
        schedulers: fields.whole_number("attached")?,
        is_client_retry: fields.flag("isRetry")?,
        is_streaming: false,
    })
}

fn outcome(fields: &Fields<'_>, names: &mut Names) -> Result<AttemptOutcome, ConfigError> {
    let end = match &*fields.required("rc")? {
        "OK" => AttemptEnd::Served,
        "INTERNAL" => AttemptEnd::Error,
        "RESOURCE_EXHAUSTED" => AttemptEnd::Rejected,
        "DEADLINE_EXCEEDED" => AttemptEnd::TimedOut,
        "UNAVAILABLE" => AttemptEnd::NotConnected,
        "ABORTED" => AttemptEnd::Reset,
        "CANCELLED" => AttemptEnd::Cancelled,
        "TOO_LATE" => AttemptEnd::NotSent,
        other => return Err(ConfigError::invalid("rc", other)),
    };
    let report = fields.get("telemetry").unwrap_or_default();
    let busy = report.split(',').filter_map(|pair| pair.split_once(':'));
    let busy = busy.filter(|(name, _)| *name == "utilization").map(|(_, value)| value).next();
    let busy =
        busy.map(|value| value.parse().map_err(|_| ConfigError::invalid("telemetry", value))).transpose()?;
    Ok(AttemptOutcome {
        request: RequestId(fields.required_number("xid")?),
        attempt: fields.required_number("sendNo")?,
        node: names.node(&fields.required("node")?),
        end,
        request_closed: fields.flag("doneFlag")?,
        latency: fields.required_duration_from_ms("elapsedMs")?,
        volume_usage_percent: fields.whole_number("seenUse")?.checked_sub(1),
        served_elsewhere: fields
            .get("foreignUnits")
            .map(|_| fields.whole_number("foreignUnits"))
            .transpose()?,
        utilization: busy,
    })
}

fn start(fields: &Fields<'_>) -> Result<Message, ConfigError> {
    let Deployment { settings, class_names: classes, plan_names: plans, .. } = Deployment::read(fields)?;
    let scheduler = Scheduler::new(settings, fields.required_number("prng")?)
        .map_err(|e| ConfigError { field: "env".to_owned(), reason: e.to_string() })?;
    let names = Names { classes, plans, ..Names::default() };
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
        Action::Send { request, node, timeout: give_up } => {
            let node = names.nodes.get(node.0 as usize).map_or("", String::as_str);
            write!(text, "DELIVER\twho={who}\txid={}\tnode={node}", request.0).and_then(|()| match give_up {
                Some(span) => write!(text, "\tlimitMs={}", Ms(*span)),
                None => Ok(()),
            })
        }
        Action::Shed { request, retry_after } => {
            write!(text, "SHED\twho={who}\txid={}", request.0).and_then(|()| match retry_after {
                Some(span) => write!(text, "\tretryAfterMs={}", Ms(*span)),
                None => Ok(()),
            })
        }
        Action::Fail { request } => write!(text, "ABORT\twho={who}\txid={}", request.0),
        Action::SetTimer { token, at } => {
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
