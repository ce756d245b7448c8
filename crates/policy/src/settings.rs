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
    pub reason: String,
}

impl ConfigError {
    /// A value that cannot be.
    pub fn invalid(field: &str, value: &str) -> Self {
        Self { field: field.to_owned(), reason: format!("impossible value {value:?}") }
    }

    /// A value that must be there and isn't.
    pub fn missing(field: &str) -> Self {
        Self { field: field.to_owned(), reason: "missing".to_owned() }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for ConfigError {}

/// Values that are found by name. A list's length stands under `.count`, its items under `.0`, `.1`, …
pub trait SettingsSource {
    /// The value of that name as text.
    fn get(&self, name: &str) -> Option<Cow<'_, str>>;

    /// A value that must be there.
    fn required(&self, name: &str) -> Result<Cow<'_, str>, ConfigError> {
        self.get(name).ok_or_else(|| ConfigError::missing(name))
    }

    /// A number that must be there.
    fn required_number<T: std::str::FromStr>(&self, name: &str) -> Result<T, ConfigError> {
        let value = self.required(name)?;
        value.parse().map_err(|_| ConfigError::invalid(name, &value))
    }

    /// A number, or what stands for it where it is absent.
    fn number_or<T: std::str::FromStr>(&self, name: &str, absent: T) -> Result<T, ConfigError> {
        self.get(name)
            .map_or(Ok(absent), |value| value.parse().map_err(|_| ConfigError::invalid(name, &value)))
    }

    /// Yes or no; no where it is absent.
    fn flag(&self, name: &str) -> Result<bool, ConfigError> {
        match self.get(name).as_deref() {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(ConfigError::invalid(name, other)),
        }
    }

    /// A figure that may not be negative, 0 where it is absent.
    fn non_negative(&self, name: &str) -> Result<f64, ConfigError> {
        let value: f64 = self.number_or(name, 0.0)?;
        let sound = value.is_finite() && value >= 0.0;
        if sound {
            Ok(value)
        } else {
            Err(ConfigError::invalid(name, &value.to_string()))
        }
    }

    /// A whole number that may be written with a fraction of zero.
    fn whole_number(&self, name: &str) -> Result<u32, ConfigError> {
        let value = self.non_negative(name)?;
        let sound = value.fract() == 0.0 && value <= f64::from(u32::MAX);
        if sound {
            Ok(value as u32)
        } else {
            Err(ConfigError::invalid(name, &value.to_string()))
        }
    }

    /// A span of milliseconds, 0 where it is absent.
    fn duration_from_ms(&self, name: &str) -> Result<Micros, ConfigError> {
        let micros = (self.non_negative(name)? * 1000.0).round();
        if micros < 9.0e15 {
            Ok(micros as Micros)
        } else {
            Err(ConfigError::invalid(name, "too large"))
        }
    }

    /// A moment or a span in milliseconds that must be there.
    fn required_duration_from_ms(&self, name: &str) -> Result<Micros, ConfigError> {
        self.required(name)?;
        self.duration_from_ms(name)
    }

    /// The place of a name among those that are known.
    fn index_of(&self, name: &str, among: &[String]) -> Result<u16, ConfigError> {
        let value = self.required(name)?;
        let at = among.iter().position(|known| *known == value);
        at.map(|at| at as u16).ok_or_else(|| ConfigError::invalid(name, &value))
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
    pub class_names: Vec<String>,
    /// Names of the plans, in the order of [`Settings::plans`].
    pub plan_names: Vec<String>,
    /// Which classes write.
    pub class_writes: Vec<bool>,
    /// A connection that is not made by then never is.
    pub connect_timeout: Micros,
    /// Connections that stood idle for this long are closed.
    pub idle_timeout: Micros,
    /// Nothing may go to a node so long after the list has told that it drains or is gone; `None` where there
    /// is no such rule.
    pub drain_grace: Option<Micros>,
}

impl Deployment {
    /// Reads it from values under the names that the settings have on every wire.
    pub fn read(from: &impl SettingsSource) -> Result<Self, ConfigError> {
        let (mut names, mut classes) = (Vec::new(), Vec::new());
        for i in 0..from.whole_number("lanes.count")? {
            let at = |key: &str| format!("lanes.{i}.{key}");
            names.push(from.required(&at("name"))?.into_owned());
            classes.push(ClassSettings {
                latency_objective: from.duration_from_ms(&at("aimMs"))?,
                deadline: from.duration_from_ms(&at("deadlineMs"))?,
                priority_weight: from.non_negative(&at("credit"))?,
                late_weight_fraction: from.non_negative(&at("lateWorth"))?,
                idempotency: match from.get(&at("repeat")).as_deref().unwrap_or("single_shot") {
                    "free" => Idempotency::Idempotent,
                    "guarded" => Idempotency::WithKey,
                    "single_shot" => Idempotency::NotIdempotent,
                    other => return Err(ConfigError::invalid(&at("repeat"), other)),
                },
                deduplication_scope: match from.get(&at("dedupScope")).as_deref().unwrap_or("cell") {
                    "all" => DeduplicationScope::AllNodes,
                    "zone" => DeduplicationScope::Zone,
                    "cell" => DeduplicationScope::Shard,
                    other => return Err(ConfigError::invalid(&at("dedupScope"), other)),
                },
                deduplication_window: from.duration_from_ms(&at("dedupWindowMs"))?,
                ordered_per_key: from.flag(&at("inTurn"))?,
            });
        }
        let (mut plan_names, mut plans) = (Vec::new(), Vec::new());
        for i in 0..from.whole_number("contracts.count")? {
            let at = |key: &str| format!("contracts.{i}.{key}");
            plan_names.push(from.required(&at("name"))?.into_owned());
            plans.push(PlanSettings {
                usual_rate: from.non_negative(&at("usualRate"))?,
                reserved_rate: from.non_negative(&at("reserve"))?,
                shared_weight: from.non_negative(&at("parts"))?,
                priority_factor: from.non_negative(&at("price"))?,
                rate_limit: from.non_negative(&at("ceilingRate"))?,
                burst: from.non_negative(&at("burst"))?,
            });
        }
        let attempt_budget = RetryBudget {
            free_retries: from.non_negative("safety.budgetFree")?,
            retries_per_request: from.non_negative("safety.extraRatio")?,
            window: from.duration_from_ms("safety.budgetSpanMs")?,
        };
        let list = match from.get("discovery").as_deref().unwrap_or("pushed") {
            "pushed" => EndpointListMode::Streamed,
            "on_request" => {
                EndpointListMode::Polled { max_interval: from.duration_from_ms("safety.mustAskInMs")? }
            }
            other => return Err(ConfigError::invalid("discovery", other)),
        };
        let hints = from.flag("limits.retryAfter")?;
        let settings = Settings {
            schedulers: from.whole_number("balancers")?,
            scheduler_index: from.whole_number("slotNo")?,
            classes,
            plans,
            mean_units: from.non_negative("familyInfo.unitMean")?,
            max_units: from.non_negative("familyInfo.maxUnits")?.ceil() as u32,
            shared_tier_weight: from.non_negative("familyInfo.withinShare")?,
            excess_tier_weight: from.non_negative("familyInfo.spareWorth")?,
            usage_period: from.duration_from_ms("familyInfo.meterPeriodMs")?,
            max_attempts: from.whole_number("limits.sendCap")?,
            max_retry_after: if hints { from.duration_from_ms("limits.maxRetryAfterMs")? } else { 0 },
            timer_resolution: from.duration_from_ms("resolutionMs")?,
            slow_start_units: from.non_negative("familyInfo.youngLimit")?,
            slow_start_fraction: from.non_negative("safety.coldShare")?,
            slow_start_duration: from.duration_from_ms("safety.coldMs")?,
            overload_window: from.duration_from_ms("safety.fallMs")?,
            overload_multiple: from.non_negative("safety.tipMultiple")?,
            key_cool_down: from.duration_from_ms("safety.keyQuietMs")?,
            retry_budget: (attempt_budget.window > 0).then_some(attempt_budget),
            endpoint_list_mode: list,
        };
        let writes = from.get("familyInfo.changesData").unwrap_or_default();
        let writes = writes.split(',').map(|yes| yes == "true" || yes == "1");
        let writes = writes.chain(std::iter::repeat(false)).take(names.len()).collect();
        let (connect, idle) =
            (from.duration_from_ms("limits.connectTimeoutMs")?, from.duration_from_ms("limits.idleCloseMs")?);
        let grace = "safety.stopSendingWithinMs";
        let grace = from.get(grace).map(|_| from.duration_from_ms(grace)).transpose()?;
        Ok(Self {
            settings,
            class_names: names,
            plan_names,
            class_writes: writes,
            connect_timeout: connect,
            idle_timeout: idle,
            drain_grace: grace,
        })
    }
}
