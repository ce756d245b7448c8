//! Reads the module's [`Settings`] from values that have names: the adapter's pairs and a JSON tree alike.

use std::borrow::Cow;
use std::fmt;

use miniserde::json::{Number, Value};

use crate::api::{
    ClassSettings, DeduplicationScope, EndpointListMode, Idempotency, Micros, PlanSettings, RetryBudget,
    Settings,
};

/// A named value that is missing or makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Its name, as a path.
    pub field: String,
    /// What is wrong with it.
    pub why: String,
}

impl ConfigError {
    /// A value that cannot be.
    pub fn value(field: &str, value: &str) -> Self {
        Self { field: field.to_owned(), why: format!("impossible value {value:?}") }
    }

    /// A value that must be there and isn't.
    pub fn missing(field: &str) -> Self {
        Self { field: field.to_owned(), why: "missing".to_owned() }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.why)
    }
}

impl std::error::Error for ConfigError {}

/// Values that are found by name. A list's length stands under `.count`, its items under `.0`, `.1`, …
pub trait SettingsSource {
    /// The value of that name as text.
    fn get(&self, name: &str) -> Option<Cow<'_, str>>;

    /// A value that must be there.
    fn need(&self, name: &str) -> Result<Cow<'_, str>, ConfigError> {
        self.get(name).ok_or_else(|| ConfigError::missing(name))
    }

    /// A number that must be there.
    fn number<T: std::str::FromStr>(&self, name: &str) -> Result<T, ConfigError> {
        let value = self.need(name)?;
        value.parse().map_err(|_| ConfigError::value(name, &value))
    }

    /// A number, or what stands for it where it is absent.
    fn or<T: std::str::FromStr>(&self, name: &str, absent: T) -> Result<T, ConfigError> {
        self.get(name).map_or(Ok(absent), |value| value.parse().map_err(|_| ConfigError::value(name, &value)))
    }

    /// Yes or no; no where it is absent.
    fn flag(&self, name: &str) -> Result<bool, ConfigError> {
        match self.get(name).as_deref() {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(ConfigError::value(name, other)),
        }
    }

    /// A figure that may not be negative, 0 where it is absent.
    fn figure(&self, name: &str) -> Result<f64, ConfigError> {
        let value: f64 = self.or(name, 0.0)?;
        let sound = value.is_finite() && value >= 0.0;
        if sound {
            Ok(value)
        } else {
            Err(ConfigError::value(name, &value.to_string()))
        }
    }

    /// A whole number that may be written with a fraction of zero.
    fn whole(&self, name: &str) -> Result<u32, ConfigError> {
        let value = self.figure(name)?;
        let sound = value.fract() == 0.0 && value <= f64::from(u32::MAX);
        if sound {
            Ok(value as u32)
        } else {
            Err(ConfigError::value(name, &value.to_string()))
        }
    }

    /// A span of milliseconds, 0 where it is absent.
    fn span(&self, name: &str) -> Result<Micros, ConfigError> {
        let micros = (self.figure(name)? * 1000.0).round();
        if micros < 9.0e15 {
            Ok(micros as Micros)
        } else {
            Err(ConfigError::value(name, "too large"))
        }
    }

    /// A moment or a span in milliseconds that must be there.
    fn micros(&self, name: &str) -> Result<Micros, ConfigError> {
        self.need(name)?;
        self.span(name)
    }

    /// The place of a name among those that are known.
    fn place(&self, name: &str, among: &[String]) -> Result<u16, ConfigError> {
        let value = self.need(name)?;
        let at = among.iter().position(|known| *known == value);
        at.map(|at| at as u16).ok_or_else(|| ConfigError::value(name, &value))
    }
}

/// A JSON value, whose parts go by their paths.
pub struct JsonSource<'a>(pub &'a Value);

impl SettingsSource for JsonSource<'_> {
    fn get(&self, name: &str) -> Option<Cow<'_, str>> {
        let mut at = self.0;
        for step in name.split('.') {
            at = match at {
                Value::Object(object) => object.get(step)?,
                Value::Array(items) if step == "count" => return Some(items.len().to_string().into()),
                Value::Array(items) => items.get(step.parse::<usize>().ok()?)?,
                _ => return None,
            };
        }
        text_of(at)
    }
}

fn text_of(value: &Value) -> Option<Cow<'_, str>> {
    match value {
        Value::Null | Value::Object(_) => None,
        Value::Bool(yes) => Some(if *yes { "true" } else { "false" }.into()),
        Value::Number(Number::U64(n)) => Some(n.to_string().into()),
        Value::Number(Number::I64(n)) => Some(n.to_string().into()),
        Value::Number(Number::F64(n)) => Some(n.to_string().into()),
        Value::String(text) => Some(text.as_str().into()),
        Value::Array(items) => Some(items.iter().filter_map(text_of).collect::<Vec<_>>().join(",").into()),
    }
}

/// What a deployment's settings say: the module's part, the names of its classes and plans, and the few
/// figures that only concern whoever carries requests.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The module's part.
    pub settings: Settings,
    /// Names of the classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Names of the plans, in the order of [`Settings::plans`].
    pub plans: Vec<String>,
    /// Which classes write.
    pub writes: Vec<bool>,
    /// A connection that is not made by then never is.
    pub connect: Micros,
    /// Connections that stood idle for this long are closed.
    pub idle: Micros,
    /// Nothing may go to a node so long after the list has told that it drains or is gone; `None` where there
    /// is no such rule.
    pub grace: Option<Micros>,
}

impl Deployment {
    /// Reads it from values under the names that the settings have on every wire.
    pub fn read(from: &impl SettingsSource) -> Result<Self, ConfigError> {
        let (mut names, mut classes) = (Vec::new(), Vec::new());
        for i in 0..from.whole("lanes.count")? {
            let at = |key: &str| format!("lanes.{i}.{key}");
            names.push(from.need(&at("name"))?.into_owned());
            classes.push(ClassSettings {
                latency_objective: from.span(&at("aimMs"))?,
                deadline: from.span(&at("deadlineMs"))?,
                priority_weight: from.figure(&at("credit"))?,
                late_weight_fraction: from.figure(&at("lateWorth"))?,
                idempotency: match from.get(&at("repeat")).as_deref().unwrap_or("single_shot") {
                    "free" => Idempotency::Idempotent,
                    "guarded" => Idempotency::WithKey,
                    "single_shot" => Idempotency::NotIdempotent,
                    other => return Err(ConfigError::value(&at("repeat"), other)),
                },
                deduplication_scope: match from.get(&at("dedupScope")).as_deref().unwrap_or("cell") {
                    "all" => DeduplicationScope::AllNodes,
                    "zone" => DeduplicationScope::Zone,
                    "cell" => DeduplicationScope::Shard,
                    other => return Err(ConfigError::value(&at("dedupScope"), other)),
                },
                deduplication_window: from.span(&at("dedupWindowMs"))?,
                ordered_per_key: from.flag(&at("inTurn"))?,
            });
        }
        let (mut plan_names, mut plans) = (Vec::new(), Vec::new());
        for i in 0..from.whole("contracts.count")? {
            let at = |key: &str| format!("contracts.{i}.{key}");
            plan_names.push(from.need(&at("name"))?.into_owned());
            plans.push(PlanSettings {
                usual_rate: from.figure(&at("usualRate"))?,
                reserved_rate: from.figure(&at("reserve"))?,
                shared_weight: from.figure(&at("parts"))?,
                priority_factor: from.figure(&at("price"))?,
                rate_limit: from.figure(&at("ceilingRate"))?,
                burst: from.figure(&at("burst"))?,
            });
        }
        let attempt_budget = RetryBudget {
            free_retries: from.figure("safety.budgetFree")?,
            retries_per_request: from.figure("safety.extraRatio")?,
            window: from.span("safety.budgetSpanMs")?,
        };
        let list = match from.get("discovery").as_deref().unwrap_or("pushed") {
            "pushed" => EndpointListMode::Streamed,
            "on_request" => EndpointListMode::Polled { max_interval: from.span("safety.mustAskInMs")? },
            other => return Err(ConfigError::value("discovery", other)),
        };
        let hints = from.flag("limits.retryAfter")?;
        let settings = Settings {
            schedulers: from.whole("balancers")?,
            scheduler_index: from.whole("slotNo")?,
            classes,
            plans,
            mean_units: from.figure("familyInfo.unitMean")?,
            max_units: from.figure("familyInfo.maxUnits")?.ceil() as u32,
            shared_tier_weight: from.figure("familyInfo.withinShare")?,
            excess_tier_weight: from.figure("familyInfo.spareWorth")?,
            usage_period: from.span("familyInfo.meterPeriodMs")?,
            max_attempts: from.whole("limits.sendCap")?,
            max_retry_after: if hints { from.span("limits.maxRetryAfterMs")? } else { 0 },
            timer_resolution: from.span("resolutionMs")?,
            slow_start_units: from.figure("familyInfo.youngLimit")?,
            slow_start_fraction: from.figure("safety.coldShare")?,
            slow_start_duration: from.span("safety.coldMs")?,
            overload_window: from.span("safety.fallMs")?,
            overload_multiple: from.figure("safety.tipMultiple")?,
            key_cool_down: from.span("safety.keyQuietMs")?,
            retry_budget: (attempt_budget.window > 0).then_some(attempt_budget),
            endpoint_list_mode: list,
        };
        let writes = from.get("familyInfo.changesData").unwrap_or_default();
        let writes = writes.split(',').map(|yes| yes == "true" || yes == "1");
        let writes = writes.chain(std::iter::repeat(false)).take(names.len()).collect();
        let (connect, idle) = (from.span("limits.connectTimeoutMs")?, from.span("limits.idleCloseMs")?);
        let grace = "safety.stopSendingWithinMs";
        let grace = from.get(grace).map(|_| from.span(grace)).transpose()?;
        Ok(Self { settings, classes: names, plans: plan_names, writes, connect, idle, grace })
    }
}
