//! The operator file, `deploy/heathward.jsonnet`: what the operators of an installation set beside the
//! platform's configuration. It is evaluated, decoded and checked as a whole before any of it is applied.

use std::path::{Path, PathBuf};

use heathward_event_log::segment::Rotation;
use heathward_event_log::StorageLimits;
use heathward_event_recorder::{ClockSkew, RecorderSettings};
use heathward_logs::{Filter, Format};
use heathward_policy::settings::{ConfigError, Deployment, JsonSource, SettingsSource};
use heathward_transport::nvme::NvmeMap;
use miniserde::json::{self, Value};

use crate::jsonnet;

/// Bytes in a megabyte of the file's settings.
const BYTES_PER_MB: u64 = 1 << 20;
/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A whole number that the file may set, with its bounds; both bounds are allowed.
struct BoundedSetting {
    /// The path in the file.
    path: &'static str,
    default: u64,
    min: u64,
    max: u64,
}

/// The size of a segment at which the next one is begun, MB.
const SEGMENT_MB: BoundedSetting =
    BoundedSetting { path: "records.segmentMb", default: 16, min: 1, max: 1024 };
/// The age of a segment at which the next one is begun, seconds.
const SEGMENT_SECONDS: BoundedSetting =
    BoundedSetting { path: "records.segmentSeconds", default: 600, min: 1, max: 86_400 };
/// The size of all segments, MB; the oldest are deleted above it.
const TOTAL_MB: BoundedSetting =
    BoundedSetting { path: "records.totalMb", default: 512, min: 2, max: 1 << 20 };
/// Events that may wait for the disk.
const WAITING_EVENTS: BoundedSetting =
    BoundedSetting { path: "records.waiting", default: 8192, min: 64, max: 65_536 };

/// The settings of the operator file.
#[derive(Clone, Debug, Default)]
pub struct OperatorSettings {
    /// The log.
    pub log: LogSettings,
    /// The map of the NVMe front, if that front is on.
    pub nvme_map: Option<NvmeMap>,
    /// The event recorder, if it is on.
    pub recorder: Option<RecorderSettings>,
}

/// The format of the log, and which lines are written.
#[derive(Clone, Debug, Default)]
pub struct LogSettings {
    /// Text or JSON.
    pub format: Format,
    /// A level for all targets, and levels for single targets.
    pub filter: Filter,
}

impl OperatorSettings {
    /// Reads and checks the file. It is evaluated in a child process that runs `program evaluate FILE`.
    ///
    /// # Errors
    /// The field at fault, or the reason why the file cannot be evaluated.
    pub fn load(program: &Path, path: &Path, deployment: Option<&Deployment>) -> Result<Self, ConfigError> {
        Self::parse(&jsonnet::evaluate_in_child_process(program, path)?, deployment)
    }

    /// Decodes the JSON that the file evaluates to. Names of classes and plans are looked up in the
    /// deployment.
    ///
    /// # Errors
    /// The field at fault.
    pub fn parse(text: &str, deployment: Option<&Deployment>) -> Result<Self, ConfigError> {
        let not_json = |_| ConfigError { field: "operator file".to_owned(), reason: "no JSON".to_owned() };
        let value: Value = json::from_str(text).map_err(not_json)?;
        let source = JsonSource(&value);
        reject_unknown_fields(&value, "", &["log", "nvme", "records"])?;
        Ok(Self {
            log: LogSettings::read(&source, section(&value, "log"))?,
            nvme_map: section(&value, "nvme").map(|map| nvme_map(map, deployment)).transpose()?,
            recorder: section(&value, "records").map(|records| recorder(&source, records)).transpose()?,
        })
    }
}

impl LogSettings {
    fn read(source: &JsonSource<'_>, section: Option<&Value>) -> Result<Self, ConfigError> {
        let Some(section) = section else { return Ok(Self::default()) };
        reject_unknown_fields(section, "log.", &["format", "filter"])?;
        Ok(Self {
            format: source.number_or("log.format", Format::default())?,
            filter: source.number_or("log.filter", Filter::default())?,
        })
    }
}

impl BoundedSetting {
    /// The value in the file, or the default.
    fn read(&self, source: &JsonSource<'_>) -> Result<u64, ConfigError> {
        let Self { path, default, min, max } = *self;
        let value: u64 = source.number_or(path, default)?;
        if (min..=max).contains(&value) {
            Ok(value)
        } else {
            Err(invalid(path, format!("{value} is not within {min} to {max}")))
        }
    }
}

fn invalid(path: &str, reason: impl Into<String>) -> ConfigError {
    ConfigError { field: path.to_owned(), reason: reason.into() }
}

fn nvme_map(map: &Value, deployment: Option<&Deployment>) -> Result<NvmeMap, ConfigError> {
    let no_configuration = || ConfigError::missing("a configuration that the section nvme goes with");
    let in_section = |error: ConfigError| ConfigError { field: format!("nvme.{}", error.field), ..error };
    NvmeMap::parse(&json::to_string(map), deployment.ok_or_else(no_configuration)?).map_err(in_section)
}

fn recorder(source: &JsonSource<'_>, section: &Value) -> Result<RecorderSettings, ConfigError> {
    let fields = ["folder", "segmentMb", "segmentSeconds", "totalMb", "waiting", "requests", "clock"];
    reject_unknown_fields(section, "records.", &fields)?;
    let folder = source.required("records.folder")?;
    if !Path::new(&*folder).is_absolute() {
        return Err(invalid("records.folder", "no absolute path"));
    }
    let segment_bytes = SEGMENT_MB.read(source)? * BYTES_PER_MB;
    let segment_micros = SEGMENT_SECONDS.read(source)? * MICROS_PER_SECOND;
    let total_bytes = TOTAL_MB.read(source)? * BYTES_PER_MB;
    if total_bytes < 2 * segment_bytes {
        return Err(invalid("records.totalMb", "less than two segments"));
    }
    Ok(RecorderSettings {
        folder: PathBuf::from(&*folder),
        limits: StorageLimits {
            rotation: Rotation { max_bytes: segment_bytes, max_age: segment_micros },
            max_total_bytes: total_bytes,
        },
        queue_capacity: WAITING_EVENTS.read(source)? as usize,
        records_requests: source.flag("records.requests")?,
        clock_skew: recorder_clock_skew(source, section)?,
    })
}

/// The recorder's clock, which is wrong on purpose in rehearsals.
fn recorder_clock_skew(source: &JsonSource<'_>, records: &Value) -> Result<ClockSkew, ConfigError> {
    let Some(clock) = section(records, "clock") else { return Ok(ClockSkew::default()) };
    reject_unknown_fields(clock, "records.clock.", &["offsetMs", "stepAfterMs", "stepMs"])?;
    Ok(ClockSkew {
        offset_ms: source.number_or("records.clock.offsetMs", 0)?,
        step_after_ms: source.number_or("records.clock.stepAfterMs", 0)?,
        step_ms: source.number_or("records.clock.stepMs", 0)?,
    })
}

/// The value of a field; null counts as absent.
fn section<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    match value {
        Value::Object(object) => object.get(name).filter(|value| !matches!(value, Value::Null)),
        _ => None,
    }
}

/// Rejects a value that is no object, or that has a field of no meaning: a misspelt name must not pass for
/// a setting. `prefix` is the path of the object with a dot behind it, or empty.
fn reject_unknown_fields(value: &Value, prefix: &str, known: &[&str]) -> Result<(), ConfigError> {
    let Value::Object(object) = value else {
        let path = prefix.trim_end_matches('.');
        return Err(invalid(if path.is_empty() { "operator file" } else { path }, "no object"));
    };
    match object.keys().find(|name| !known.contains(&name.as_str())) {
        None => Ok(()),
        Some(name) => Err(invalid(&format!("{prefix}{name}"), "no such setting")),
    }
}

#[cfg(test)]
mod tests;
