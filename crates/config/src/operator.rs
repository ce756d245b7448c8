//! The operator file, `deploy/heathward.jsonnet`: what our installations set beside the platform's
//! configuration. Evaluated, decoded and checked whole before any of it acts.

use std::path::{Path, PathBuf};

use heathward_event_log::segment::Rotation;
use heathward_event_log::StorageLimits;
use heathward_event_recorder::{Clock, Settings};
use heathward_logs::{Filter, Format};
use heathward_policy::settings::{ConfigError, Deployment, JsonSource, SettingsSource};
use heathward_transport::nvme::Map;
use miniserde::json::{self, Value};

use crate::jsonnet;

/// What the file sets.
#[derive(Clone, Debug, Default)]
pub struct OperatorSettings {
    /// The logs.
    pub log: LogSettings,
    /// The NVMe front, where it is on.
    pub nvme_map: Option<Map>,
    /// The records, where they are kept.
    pub recorder: Option<Settings>,
}

/// How logs look, and which are written.
#[derive(Clone, Debug, Default)]
pub struct LogSettings {
    /// Text or JSON.
    pub format: Format,
    /// By target and level.
    pub filter: Filter,
}

impl OperatorSettings {
    /// Reads the file, in a process of its own that `program evaluate FILE` starts, and checks all of it.
    ///
    /// # Errors
    /// The field at fault, or what keeps the file from being evaluated.
    pub fn load(program: &Path, path: &Path, deployment: Option<&Deployment>) -> Result<Self, ConfigError> {
        Self::parse(&jsonnet::evaluate_apart(program, path)?, deployment)
    }

    /// Decodes what the file evaluates to.
    ///
    /// # Errors
    /// The field at fault.
    pub fn parse(text: &str, deployment: Option<&Deployment>) -> Result<Self, ConfigError> {
        let broken = |_| ConfigError { field: "operator file".to_owned(), reason: "no JSON".to_owned() };
        let value: Value = json::from_str(text).map_err(broken)?;
        let tree = JsonSource(&value);
        known(&value, "", &["log", "nvme", "records"])?;
        Ok(Self {
            log: LogSettings::read(&tree, section(&value, "log"))?,
            nvme_map: section(&value, "nvme").map(|map| nvme(map, deployment)).transpose()?,
            recorder: section(&value, "records").map(|section| records(&tree, section)).transpose()?,
        })
    }
}

impl LogSettings {
    fn read(tree: &JsonSource<'_>, section: Option<&Value>) -> Result<Self, ConfigError> {
        let Some(section) = section else { return Ok(Self::default()) };
        known(section, "log.", &["format", "filter"])?;
        Ok(Self {
            format: tree.number_or("log.format", Format::default())?,
            filter: tree.number_or("log.filter", Filter::default())?,
        })
    }
}

fn nvme(map: &Value, deployment: Option<&Deployment>) -> Result<Map, ConfigError> {
    let need = || ConfigError::missing("a configuration that the section nvme goes with");
    let inside = |error: ConfigError| ConfigError { field: format!("nvme.{}", error.field), ..error };
    Map::parse(&json::to_string(map), deployment.ok_or_else(need)?).map_err(inside)
}

/// Bytes in a megabyte as the file counts them.
const MB: u64 = 1 << 20;

fn records(tree: &JsonSource<'_>, section: &Value) -> Result<Settings, ConfigError> {
    let names = ["folder", "segmentMb", "segmentSeconds", "totalMb", "waiting", "requests", "clock"];
    known(section, "records.", &names)?;
    let within = |name: &str, absent: u64, least: u64, most: u64| {
        let field = format!("records.{name}");
        let value: u64 = tree.number_or(&field, absent)?;
        if (least..=most).contains(&value) {
            Ok(value)
        } else {
            Err(ConfigError { field, reason: format!("{value} is not within {least} to {most}") })
        }
    };
    let folder = tree.required("records.folder")?;
    if !Path::new(&*folder).is_absolute() {
        return Err(ConfigError {
            field: "records.folder".to_owned(),
            reason: "no absolute path".to_owned(),
        });
    }
    let size = within("segmentMb", 16, 1, 1024)? * MB;
    let age = within("segmentSeconds", 600, 1, 86_400)? * 1_000_000;
    let total = within("totalMb", 512, 2, 1 << 20)? * MB;
    if total < 2 * size {
        let why = "less than two segments".to_owned();
        return Err(ConfigError { field: "records.totalMb".to_owned(), reason: why });
    }
    Ok(Settings {
        folder: PathBuf::from(&*folder),
        limits: StorageLimits {
            rotation: Rotation { max_bytes: size, max_age: age },
            max_total_bytes: total,
        },
        waiting: within("waiting", 8192, 64, 65_536)? as usize,
        requests: tree.flag("records.requests")?,
        clock: clock(tree, section)?,
    })
}

fn clock(tree: &JsonSource<'_>, records: &Value) -> Result<Clock, ConfigError> {
    let Some(clock) = self::section(records, "clock") else { return Ok(Clock::default()) };
    known(clock, "records.clock.", &["offsetMs", "stepAfterMs", "stepMs"])?;
    Ok(Clock {
        offset_ms: tree.number_or("records.clock.offsetMs", 0)?,
        step_after_ms: tree.number_or("records.clock.stepAfterMs", 0)?,
        step_ms: tree.number_or("records.clock.stepMs", 0)?,
    })
}

/// A field's value; null is as good as none.
fn section<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    match value {
        Value::Object(object) => object.get(name).filter(|value| !matches!(value, Value::Null)),
        _ => None,
    }
}

/// Refuses what is no object or has a field that means nothing: a slip must not pass for a setting.
fn known(value: &Value, path: &str, names: &[&str]) -> Result<(), ConfigError> {
    let field = |name: &str| format!("{path}{name}");
    match value {
        Value::Object(object) => match object.keys().find(|name| !names.contains(&name.as_str())) {
            None => Ok(()),
            Some(name) => Err(ConfigError { field: field(name), reason: "no such setting".to_owned() }),
        },
        _ => {
            let name = path.trim_end_matches('.');
            let name = if name.is_empty() { "operator file" } else { name };
            Err(ConfigError { field: name.to_owned(), reason: "no object".to_owned() })
        }
    }
}

#[cfg(test)]
mod tests;
