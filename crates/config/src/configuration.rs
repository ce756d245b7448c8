//! The platform's configuration, decoded from JSON.

use std::net::SocketAddr;

use heathward_core::EndpointUpdate;
use heathward_load_sources::Rules;
use heathward_policy::settings::{ConfigError, Deployment, JsonSource, SettingsSource};
use heathward_policy::EndpointUpdateKind;
use heathward_transport::discovery;
use heathward_transport::nvme::NvmeMap;
use miniserde::json::{self, Value};

use crate::operator::OperatorSettings;

/// The limit on the process's file descriptors if the file sets none.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// The smallest valid limit on file descriptors: a lower one would leave none for clients and nodes.
const MIN_DESCRIPTORS: usize = 64;

/// The limit on the scheduler's memory if the file sets none, in MiB.
const DEFAULT_MEMORY_MIB: f64 = 192.0;
/// The smallest valid limit on memory in MiB: the program alone takes half of it.
const MIN_MEMORY_MIB: f64 = 16.0;
/// The largest valid limit on memory, in MiB.
const MAX_MEMORY_MIB: f64 = 1_048_576.0;
const BYTES_PER_MIB: f64 = 1_048_576.0;

/// The complete configuration of the program.
pub struct Config {
    /// The scheduler's name, which stays the same after a restart.
    pub name: String,
    /// The address that clients connect to.
    pub listen_address: SocketAddr,
    /// The address of the admin interface, if it is on.
    pub admin_address: Option<SocketAddr>,
    /// The address of discovery, which serves the endpoint list.
    pub discovery_address: SocketAddr,
    /// The seed of all random numbers; in the file as a hexadecimal number.
    pub seed: u64,
    /// The limit on the process's file descriptors, at least 64.
    pub max_descriptors: usize,
    /// The limit on the scheduler's memory in bytes, at least 16 MiB.
    pub max_memory_bytes: usize,
    /// The endpoint list that the platform wrote into the configuration, for the time until discovery
    /// answers.
    pub cached_endpoints: EndpointUpdate,
    /// The settings of the decision module, and the names of classes and plans.
    pub deployment: Deployment,
    /// The map of the NVMe front, if that front is on.
    pub nvme_map: Option<NvmeMap>,
    /// The operator file's settings; the defaults if there is no such file.
    pub operator_settings: OperatorSettings,
    /// A load source whose entries the program lists, instead of serving clients.
    pub load_listing: Option<LoadListing>,
}

/// A load source whose entries are to be listed.
pub struct LoadListing {
    /// The source.
    pub source: LoadSource,
    /// The rules that map its entries to requests.
    pub rules: Rules,
}

/// The text of a load source, by its format.
pub enum LoadSource {
    /// A HAR file.
    Har(String),
    /// An access log.
    AccessLog(String),
}

/// Decodes the platform's configuration. Settings of other files have their defaults.
///
/// # Errors
/// The first field that is missing or invalid.
pub fn parse_configuration(text: &str) -> Result<Config, ConfigError> {
    let value: Value = json::from_str(text).map_err(|_| not_json())?;
    let source = JsonSource(&value);
    let seed = source.required("seed")?;
    let has_admin_address = source.get("ops").is_some();
    let max_descriptors = source.number_or("limits.sockets", DEFAULT_MAX_DESCRIPTORS)?;
    if max_descriptors < MIN_DESCRIPTORS {
        return Err(ConfigError::invalid("limits.sockets", &max_descriptors.to_string()));
    }
    let max_memory_bytes = parse_memory_limit(&source)?;
    let cached_endpoints = parse_cached_endpoints(section(&value, "known")?)?;
    let deployment = parse_deployment(section(&value, "settings")?)?;
    Ok(Config {
        name: source.number_or("name", "heathward".to_owned())?,
        listen_address: source.required_number("listen")?,
        admin_address: has_admin_address.then(|| source.required_number("ops")).transpose()?,
        discovery_address: source.required_number("discovery")?,
        seed: u64::from_str_radix(&seed, 16).map_err(|_| ConfigError::invalid("seed", &seed))?,
        max_descriptors,
        max_memory_bytes,
        cached_endpoints,
        deployment,
        nvme_map: None,
        operator_settings: OperatorSettings::default(),
        load_listing: None,
    })
}

/// Returns the limit on the scheduler's memory, in bytes.
fn parse_memory_limit(source: &JsonSource<'_>) -> Result<usize, ConfigError> {
    let mebibytes: f64 = source.number_or("limits.memory_mb", DEFAULT_MEMORY_MIB)?;
    if !(MIN_MEMORY_MIB..=MAX_MEMORY_MIB).contains(&mebibytes) {
        return Err(ConfigError::invalid("limits.memory_mb", &mebibytes.to_string()));
    }
    Ok((mebibytes * BYTES_PER_MIB) as usize)
}

fn not_json() -> ConfigError {
    ConfigError { field: "configuration".to_owned(), reason: "not JSON".to_owned() }
}

/// Returns a required section.
fn section<'a>(value: &'a Value, name: &str) -> Result<&'a Value, ConfigError> {
    match value {
        Value::Object(object) => object.get(name).ok_or_else(|| ConfigError::missing(name)),
        _ => Err(ConfigError::missing(name)),
    }
}

/// Decodes the section `known`, which has the format of discovery's updates.
fn parse_cached_endpoints(known: &Value) -> Result<EndpointUpdate, ConfigError> {
    let update = discovery::parse_update(&json::to_string(known));
    let update =
        update.map_err(|error| ConfigError { field: "known".to_owned(), reason: error.to_string() })?;
    Ok(EndpointUpdate { kind: EndpointUpdateKind::Cached, ..update })
}

/// Decodes and checks the section `settings`.
fn parse_deployment(settings: &Value) -> Result<Deployment, ConfigError> {
    let deployment = Deployment::read(&JsonSource(settings))
        .map_err(|error| ConfigError { field: format!("settings.{}", error.field), ..error })?;
    deployment
        .settings
        .validate()
        .map_err(|error| ConfigError { field: "settings".to_owned(), reason: error.to_string() })?;
    Ok(deployment)
}
