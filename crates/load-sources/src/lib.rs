//! Sources of load: HAR files and access logs to the core's typed requests. Nothing here sends any.
//!
//! An entry that makes no sense is reported with its place, and the rest goes on.

mod access_log;
mod har;

use std::fmt;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use miniserde::{json, Deserialize};
use tokio::time::Instant;

use heathward_core::{ClientRequest, NodeRequest};
use heathward_policy::settings::{ConfigError, Deployment};
use heathward_policy::{
    ClassId, ClassSettings, Idempotency, KeyId, Micros, PlanId, PlanSettings, Settings, ShardId, VolumeId,
};

pub use access_log::access_log;
pub use har::har;

/// An entry that was skipped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Skipped {
    /// Its number in the file, from 1: a line of a log, an entry of a HAR file.
    pub place: usize,
    /// What is wrong with it.
    pub why: String,
}

impl fmt::Display for Skipped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "entry {}: {}", self.place, self.why)
    }
}

/// A request of a source, and when it came there.
#[derive(Clone, Debug)]
pub struct Recorded {
    /// Its time in the source, as Unix time.
    pub at: Micros,
    /// How long its client waits; 0 where nobody says.
    pub budget: Micros,
    /// All of it but the deadline.
    call: ClientRequest,
}

impl Recorded {
    /// The call, taken now.
    pub fn taken_at(&self, now: Instant) -> ClientRequest {
        ClientRequest { deadline: now + Duration::from_micros(self.budget), ..self.call.clone() }
    }
}

impl fmt::Display for Recorded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let NodeRequest { target, is_write: write, units, .. } = &*self.call.node_request;
        let (ms, kind) = (self.at / 1000, if *write { "write" } else { "read" });
        write!(f, "{ms} {kind} {target} units={units}")?;
        match self.budget {
            0 => Ok(()),
            budget => write!(f, " budget_ms={}", budget / 1000),
        }
    }
}

/// What an entry of any source says.
struct Entry<'a> {
    at: Micros,
    method: &'a str,
    /// Path and query.
    target: &'a str,
    /// Whose data it is, where the path does not say.
    owner: &'a str,
    /// How much was moved.
    bytes: u64,
    body: Bytes,
}

/// As the file has it.
#[derive(Deserialize)]
struct File {
    read: String,
    write: String,
    plan: String,
    unit_bytes: u64,
    shards: u32,
    hosts: u32,
}

impl File {
    fn parse(text: &str) -> Result<Self, ConfigError> {
        let broken = |_| ConfigError {
            field: "rules".to_owned(),
            reason: "not JSON, or a field is missing".to_owned(),
        };
        json::from_str(text).map_err(broken)
    }
}

/// How entries become requests, where they don't say it themselves.
#[derive(Clone, Debug)]
pub struct Rules {
    deployment: Arc<Deployment>,
    read: ClassId,
    write: ClassId,
    plan: PlanId,
    unit_bytes: u64,
    shards: u32,
    hosts: u32,
}

impl Rules {
    /// Decodes a file of rules, whose classes and plan the deployment knows.
    ///
    /// # Errors
    /// The field that is not valid, or that names no class or plan of the deployment.
    pub fn parse(text: &str, deployment: Arc<Deployment>) -> Result<Self, ConfigError> {
        Self::check(File::parse(text)?, deployment)
    }

    /// Decodes a file of rules by itself: its own names are the classes and the plan, nobody's deadline is
    /// known, and a request may be of any size.
    ///
    /// # Errors
    /// The field that is not valid.
    pub fn alone(text: &str) -> Result<Self, ConfigError> {
        let file = File::parse(text)?;
        let class = |effect| ClassSettings { idempotency: effect, ..ClassSettings::default() };
        let settings = Settings {
            max_units: u32::MAX,
            classes: vec![class(Idempotency::Idempotent), class(Idempotency::WithKey)],
            plans: vec![PlanSettings::default()],
            ..Settings::default()
        };
        let deployment = Deployment {
            settings,
            class_names: vec![file.read.clone(), file.write.clone()],
            plan_names: vec![file.plan.clone()],
            class_writes: vec![false, true],
            connect_timeout: 0,
            idle_timeout: 0,
            drain_grace: None,
        };
        Self::check(file, Arc::new(deployment))
    }

    fn check(file: File, deployment: Arc<Deployment>) -> Result<Self, ConfigError> {
        let place = |field: &str, name: &str, among: &[String]| {
            let at = among.iter().position(|known| known == name);
            at.map(|at| at as u16).ok_or_else(|| ConfigError::invalid(field, name))
        };
        let (read, write) = (
            place("read", &file.read, &deployment.class_names)?,
            place("write", &file.write, &deployment.class_names)?,
        );
        let plan = place("plan", &file.plan, &deployment.plan_names)?;
        let figures =
            [("unit_bytes", file.unit_bytes), ("shards", file.shards.into()), ("hosts", file.hosts.into())];
        if let Some((field, _)) = figures.iter().find(|(_, value)| *value == 0) {
            return Err(ConfigError::invalid(field, "0"));
        }
        let File { unit_bytes, shards, hosts, .. } = file;
        let (read, write, plan) = (ClassId(read), ClassId(write), PlanId(plan));
        Ok(Self { deployment, read, write, plan, unit_bytes, shards, hosts })
    }

    /// An entry's request. A path of the platform's form names class, volume and data; of any other the
    /// method names the class, and hashes of owner and path stand for volume and data.
    fn request(&self, place: usize, entry: Entry<'_>) -> Result<Recorded, String> {
        let write = match entry.method {
            "GET" | "HEAD" => false,
            "PUT" | "POST" | "PATCH" | "DELETE" => true,
            other => return Err(format!("method {other:?} neither reads nor writes")),
        };
        if !entry.target.starts_with('/') {
            return Err(format!("target {:?} is no path", entry.target));
        }
        let path = entry.target.split(['?', '#']).next().unwrap_or_default();
        let named =
            self.named(path).filter(|(class, ..)| self.deployment.class_writes[class.0 as usize] == write);
        let class = if write { self.write } else { self.read };
        let (class, volume, key) = named.unwrap_or((class, hash(entry.owner), hash(path)));
        let settings = &self.deployment.settings;
        let name = &self.deployment.class_names[class.0 as usize];
        let most = u64::from(settings.max_units.max(1));
        let work = NodeRequest {
            client_request_id: format!("{place:016x}").into(),
            class_name: name.as_str().into(),
            is_write: write,
            target: format!("/{name}/{volume:016x}/{key:016x}").into(),
            idempotency_key: write.then(|| format!("{place:016x}").into()),
            volume: VolumeId(volume),
            key: KeyId(key),
            units: entry.bytes.div_ceil(self.unit_bytes).clamp(1, most) as u32,
            read_length: None,
            body: entry.body,
            upload: None,
        };
        let call = ClientRequest {
            class,
            plan: self.plan,
            shard: Some(ShardId((key % u64::from(self.shards)) as u32)),
            schedulers: self.hosts,
            is_client_retry: false,
            // Set when it is taken.
            deadline: Instant::now(),
            node_request: Arc::new(work),
        };
        Ok(Recorded { at: entry.at, budget: settings.classes[class.0 as usize].deadline, call })
    }

    /// Class, volume and data of a path of the platform's form.
    fn named(&self, path: &str) -> Option<(ClassId, u64, u64)> {
        let ["", class, volume, key] = path.split('/').collect::<Vec<_>>()[..] else { return None };
        let class = self.deployment.class_names.iter().position(|c| c == class)?;
        let hex = |digits: &str| u64::from_str_radix(digits, 16).ok().filter(|_| digits.len() == 16);
        Some((ClassId(class as u16), hex(volume)?, hex(key)?))
    }
}

fn hash(text: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// Unix time in microseconds; nothing before 1970 is taken.
fn micros(at: time::OffsetDateTime) -> Option<Micros> {
    u64::try_from(at.unix_timestamp_nanos() / 1000).ok()
}
