//! Reads a deployment's settings under their wire names and converts them to the policy's settings.

use crate::api::{
    ClassSettings, ClientRetries, DeduplicationScope, EndpointListMode, Idempotency, Micros, PlanSettings,
    RetryBudget, Settings,
};

mod error;
mod source;

pub use error::ConfigError;
pub use source::{JsonSource, SettingsSource};

/// The settings of a deployment: those of the policy, the names of its classes and plans, and those that only
/// concern the processes that use the policy.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The settings of the policy.
    pub settings: Settings,
    /// Names of the classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// Names of the plans, in the order of [`Settings::plans`].
    pub plan_names: Vec<String>,
    /// For each class, whether its requests change data.
    pub class_writes: Vec<bool>,
    /// Timeout for opening a connection to a node.
    pub connect_timeout: Micros,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Micros,
    /// Time after the endpoint list marks a node as draining or removed, from which nothing may be sent to
    /// it; `None` if there is no such rule.
    pub drain_grace: Option<Micros>,
}

impl Deployment {
    /// Reads the settings from named values.
    ///
    /// # Errors
    ///
    /// Returns the first value that is missing or invalid.
    pub fn read(source: &impl SettingsSource) -> Result<Self, ConfigError> {
        let classes = read_classes(source)?;
        let plans = read_plans(source)?;
        let settings = read_policy(source, classes.items, plans.items)?;
        let class_writes = read_class_writes(source, classes.names.len());
        let connect_timeout = source.duration_from_ms("limits.connectTimeoutMs")?;
        let idle_timeout = source.duration_from_ms("limits.idleCloseMs")?;
        let drain_grace = "safety.stopSendingWithinMs";
        let drain_grace =
            source.get(drain_grace).map(|_| source.duration_from_ms(drain_grace)).transpose()?;
        Ok(Self {
            settings,
            class_names: classes.names,
            plan_names: plans.names,
            class_writes,
            connect_timeout,
            idle_timeout,
            drain_grace,
        })
    }
}

/// Named items, in the order of their list.
struct NamedItems<T> {
    names: Vec<String>,
    items: Vec<T>,
}

/// Reads a list; `read_item` reads one item, given the common prefix of the names of its values.
fn read_list<T>(
    source: &impl SettingsSource,
    list: &str,
    read_item: impl Fn(&str) -> Result<T, ConfigError>,
) -> Result<NamedItems<T>, ConfigError> {
    let (mut names, mut items) = (Vec::new(), Vec::new());
    for index in 0..source.whole_number(&format!("{list}.count"))? {
        let prefix = format!("{list}.{index}");
        names.push(source.required(&format!("{prefix}.name"))?.into_owned());
        items.push(read_item(&prefix)?);
    }
    Ok(NamedItems { names, items })
}

fn read_classes(source: &impl SettingsSource) -> Result<NamedItems<ClassSettings>, ConfigError> {
    read_list(source, "lanes", |prefix| {
        let path = |name: &str| format!("{prefix}.{name}");
        Ok(ClassSettings {
            latency_objective: source.duration_from_ms(&path("aimMs"))?,
            deadline: source.duration_from_ms(&path("deadlineMs"))?,
            priority_weight: source.non_negative(&path("credit"))?,
            late_weight_fraction: source.non_negative(&path("lateWorth"))?,
            idempotency: read_idempotency(source, &path("repeat"))?,
            deduplication_scope: read_deduplication_scope(source, &path("dedupScope"))?,
            deduplication_window: source.duration_from_ms(&path("dedupWindowMs"))?,
            ordered_per_key: source.flag(&path("inTurn"))?,
        })
    })
}

fn read_idempotency(source: &impl SettingsSource, name: &str) -> Result<Idempotency, ConfigError> {
    match source.get(name).as_deref().unwrap_or("single_shot") {
        "free" => Ok(Idempotency::Idempotent),
        "guarded" => Ok(Idempotency::WithKey),
        "single_shot" => Ok(Idempotency::NotIdempotent),
        other => Err(ConfigError::invalid(name, other)),
    }
}

fn read_deduplication_scope(
    source: &impl SettingsSource,
    name: &str,
) -> Result<DeduplicationScope, ConfigError> {
    match source.get(name).as_deref().unwrap_or("cell") {
        "all" => Ok(DeduplicationScope::AllNodes),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Shard),
        other => Err(ConfigError::invalid(name, other)),
    }
}

fn read_plans(source: &impl SettingsSource) -> Result<NamedItems<PlanSettings>, ConfigError> {
    read_list(source, "contracts", |prefix| {
        let number = |name: &str| source.non_negative(&format!("{prefix}.{name}"));
        Ok(PlanSettings {
            usual_rate: number("usualRate")?,
            reserved_rate: number("reserve")?,
            shared_weight: number("parts")?,
            priority_factor: number("price")?,
            rate_limit: number("ceilingRate")?,
            burst: number("burst")?,
        })
    })
}

fn read_policy(
    source: &impl SettingsSource,
    classes: Vec<ClassSettings>,
    plans: Vec<PlanSettings>,
) -> Result<Settings, ConfigError> {
    let retry_budget = read_retry_budget(source)?;
    let endpoint_list_mode = read_endpoint_list_mode(source)?;
    let has_retry_after = source.flag("limits.retryAfter")?;
    Ok(Settings {
        schedulers: source.whole_number("balancers")?,
        scheduler_index: source.whole_number("slotNo")?,
        classes,
        plans,
        mean_units: source.non_negative("familyInfo.unitMean")?,
        max_units: source.non_negative("familyInfo.maxUnits")?.ceil() as u32,
        shared_tier_weight: source.non_negative("familyInfo.withinShare")?,
        excess_tier_weight: source.non_negative("familyInfo.spareWorth")?,
        usage_period: source.duration_from_ms("familyInfo.meterPeriodMs")?,
        max_attempts: source.whole_number("limits.sendCap")?,
        max_retry_after: if has_retry_after {
            source.duration_from_ms("limits.maxRetryAfterMs")?
        } else {
            0
        },
        client_retries: read_client_retries(source)?,
        timer_resolution: source.duration_from_ms("resolutionMs")?,
        slow_start_units: source.non_negative("familyInfo.youngLimit")?,
        slow_start_fraction: source.non_negative("safety.coldShare")?,
        slow_start_duration: source.duration_from_ms("safety.coldMs")?,
        overload_window: source.duration_from_ms("safety.fallMs")?,
        overload_multiple: source.non_negative("safety.tipMultiple")?,
        key_cool_down: source.duration_from_ms("safety.keyQuietMs")?,
        retry_budget,
        endpoint_list_mode,
    })
}

/// Reads how retries are recognized. Retries count as unmarked only if the settings say so: in the protocol,
/// a time budget below the class's deadline is usual for a first request.
fn read_client_retries(source: &impl SettingsSource) -> Result<ClientRetries, ConfigError> {
    let name = "clients.marksRetry";
    let is_unmarked = source.get(name).is_some() && !source.flag(name)?;
    Ok(if is_unmarked { ClientRetries::Unmarked } else { ClientRetries::Marked })
}

/// Reads the retry budget; there is none if its window is 0.
fn read_retry_budget(source: &impl SettingsSource) -> Result<Option<RetryBudget>, ConfigError> {
    let budget = RetryBudget {
        free_retries: source.non_negative("safety.budgetFree")?,
        retries_per_request: source.non_negative("safety.extraRatio")?,
        window: source.duration_from_ms("safety.budgetSpanMs")?,
    };
    Ok((budget.window > 0).then_some(budget))
}

fn read_endpoint_list_mode(source: &impl SettingsSource) -> Result<EndpointListMode, ConfigError> {
    match source.get("discovery").as_deref().unwrap_or("pushed") {
        "pushed" => Ok(EndpointListMode::Streamed),
        "on_request" => {
            Ok(EndpointListMode::Polled { max_interval: source.duration_from_ms("safety.mustAskInMs")? })
        }
        other => Err(ConfigError::invalid("discovery", other)),
    }
}

/// Reads which classes change data, as a list of flags separated by commas; classes beyond its end do not.
fn read_class_writes(source: &impl SettingsSource, classes: usize) -> Vec<bool> {
    let listed = source.get("familyInfo.changesData").unwrap_or_default();
    let listed = listed.split(',').map(|flag| flag == "true" || flag == "1");
    listed.chain(std::iter::repeat(false)).take(classes).collect()
}
