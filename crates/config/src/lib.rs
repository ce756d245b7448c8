//! The program's configuration: the JSON file that `GW_CONFIG` names, and those that its arguments name.

mod check;
mod jsonnet;
mod operator;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use miniserde::json::{self, Value};

use heathward_core::EndpointUpdate;
use heathward_load_sources::Rules;
use heathward_policy::settings::{ConfigError, Deployment, JsonSource, SettingsSource};
use heathward_policy::EndpointUpdateKind;
use heathward_transport::discovery;
use heathward_transport::nvme::Map;

pub use check::{check_file, first_deployment, FileKind};
pub use jsonnet::{bound_this_process, evaluate, this_program};
pub use operator::{LogSettings, OperatorSettings};

/// Descriptors where the file sets no limit.
const SOCKETS: usize = 1024;
/// With fewer there is no room for clients and nodes.
const LEAST_SOCKETS: usize = 64;

/// No file that the arguments name is longer, bytes.
const LONGEST_FILE: u64 = 16 << 20;

/// All that the program is told.
pub struct Config {
    /// The scheduler's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen_address: SocketAddr,
    /// Where operations staff connect, if anywhere.
    pub admin_address: Option<SocketAddr>,
    /// Discovery's address.
    pub discovery_address: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the program may hold.
    pub max_descriptors: usize,
    /// The list of nodes as it was last known.
    pub cached_endpoints: EndpointUpdate,
    /// The settings.
    pub deployment: Deployment,
    /// The NVMe front, where it is on.
    pub nvme_map: Option<Map>,
    /// What the operator file says; nothing where there is none.
    pub operator_settings: OperatorSettings,
    /// A source of load that is to be listed, not served, and its rules.
    pub load_source: Option<(LoadSource, Rules)>,
}

/// The text of a source of load, by its form.
pub enum LoadSource {
    /// A HAR file.
    Har(String),
    /// An access log.
    AccessLog(String),
}

/// Files that the arguments name.
#[derive(Clone, Debug, Default)]
pub struct FileArguments {
    /// The operator file.
    pub operator: Option<PathBuf>,
    /// The NVMe front's map.
    pub nvme_map: Option<PathBuf>,
    /// A source of load that is to be listed.
    pub har: Option<PathBuf>,
    /// The same, as an access log.
    pub access_log: Option<PathBuf>,
    /// The rules for that.
    pub load_rules: Option<PathBuf>,
}

/// Reads the file that the environment names, and those that the arguments name.
///
/// # Errors
/// The first field that makes no sense, or the file that can't be read.
pub fn load(files: &FileArguments) -> Result<Config, ConfigError> {
    let mut config = environment()?;
    if let Some(path) = &files.operator {
        config.operator_settings = OperatorSettings::load(&this_program(), path, Some(&config.deployment))?;
        config.nvme_map = config.operator_settings.nvme_map.clone();
    }
    if let Some(path) = &files.nvme_map {
        if config.nvme_map.is_some() {
            return Err(ConfigError::invalid("--nvme", "set in the operator file too"));
        }
        config.nvme_map = Some(Map::parse(&read_text_file("--nvme", path)?, &config.deployment)?);
    }
    let source = match (&files.har, &files.access_log) {
        (Some(path), _) => Some(LoadSource::Har(read_text_file("--har", path)?)),
        (None, Some(path)) => Some(LoadSource::AccessLog(read_text_file("--access-log", path)?)),
        (None, None) => None,
    };
    config.load_source = match (source, &files.load_rules) {
        (None, None) => None,
        (None, Some(_)) => return Err(ConfigError::missing("--har or --access-log")),
        (Some(_), None) => return Err(ConfigError::missing("--rules")),
        (Some(source), Some(path)) => {
            let deployment = Arc::new(config.deployment.clone());
            Some((source, Rules::parse(&read_text_file("--rules", path)?, deployment)?))
        }
    };
    Ok(config)
}

/// Reads the file that the environment names.
fn environment() -> Result<Config, ConfigError> {
    let path = std::env::var_os("GW_CONFIG").ok_or_else(|| ConfigError::missing("GW_CONFIG"))?;
    let mut config = parse_configuration(&read_text_file("GW_CONFIG", Path::new(&path))?)?;
    if let (None, Ok(ops)) = (config.admin_address, std::env::var("GW_OPS")) {
        config.admin_address = Some(ops.parse().map_err(|_| ConfigError::invalid("GW_OPS", &ops))?);
    }
    Ok(config)
}

/// The text of a file that a field or an argument names.
///
/// # Errors
/// The field, with the path and what the system says of it; a file over 16 MB is not read.
pub fn read_text_file(field: &str, path: &Path) -> Result<String, ConfigError> {
    let error =
        |why: String| ConfigError { field: field.to_owned(), reason: format!("{}: {why}", path.display()) };
    let size = std::fs::metadata(path).map_err(|e| error(e.to_string()))?.len();
    if size > LONGEST_FILE {
        return Err(error(format!("{size} bytes, {LONGEST_FILE} at most")));
    }
    std::fs::read_to_string(path).map_err(|e| error(e.to_string()))
}

/// Decodes a configuration.
pub fn parse_configuration(text: &str) -> Result<Config, ConfigError> {
    let broken = |_| ConfigError { field: "configuration".to_owned(), reason: "not JSON".to_owned() };
    let value: Value = json::from_str(text).map_err(broken)?;
    let tree = JsonSource(&value);
    let seed = tree.required("seed")?;
    let sockets = tree.number_or("limits.sockets", SOCKETS)?;
    if sockets < LEAST_SOCKETS {
        return Err(ConfigError::invalid("limits.sockets", &sockets.to_string()));
    }
    let section = |name: &str| match &value {
        Value::Object(object) => object.get(name).ok_or_else(|| ConfigError::missing(name)),
        _ => Err(ConfigError::missing(name)),
    };
    let inside = |error: ConfigError| ConfigError { field: format!("settings.{}", error.field), ..error };
    let known = discovery::parse_update(&json::to_string(section("known")?));
    let known =
        known.map_err(|error| ConfigError { field: "known".to_owned(), reason: error.to_string() })?;
    let deployment = Deployment::read(&JsonSource(section("settings")?)).map_err(inside)?;
    let checked = deployment.settings.validate();
    checked.map_err(|e| ConfigError { field: "settings".to_owned(), reason: e.to_string() })?;
    Ok(Config {
        name: tree.number_or("name", "heathward".to_owned())?,
        listen_address: tree.required_number("listen")?,
        admin_address: match tree.get("ops") {
            Some(_) => Some(tree.required_number("ops")?),
            None => None,
        },
        discovery_address: tree.required_number("discovery")?,
        seed: u64::from_str_radix(&seed, 16).map_err(|_| ConfigError::invalid("seed", &seed))?,
        max_descriptors: sockets,
        cached_endpoints: EndpointUpdate { kind: EndpointUpdateKind::Cached, ..known },
        deployment,
        nvme_map: None,
        operator_settings: OperatorSettings::default(),
        load_source: None,
    })
}
