//! The program's configuration: the JSON file that `GW_CONFIG` names, and those that its arguments name.

mod check;
mod jsonnet;
mod operator;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use miniserde::json::{self, Value};

use heathward_core::DiscoveryUpdate;
use heathward_load_sources::Rules;
use heathward_policy::settings::{ConfigError, Deployment, Named, Tree};
use heathward_policy::ListKind;
use heathward_transport::discovery;
use heathward_transport::nvme::Map;

pub use check::{check, deployment, Kind};
pub use jsonnet::{bound_this_process, evaluate, this_program};
pub use operator::{LogSettings, Operator};

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
    pub listen: SocketAddr,
    /// Where operations staff connect, if anywhere.
    pub ops: Option<SocketAddr>,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the program may hold.
    pub sockets: usize,
    /// The list of nodes as it was last known.
    pub known: DiscoveryUpdate,
    /// The settings.
    pub deployment: Deployment,
    /// The NVMe front, where it is on.
    pub nvme: Option<Map>,
    /// What the operator file says; nothing where there is none.
    pub operator: Operator,
    /// A source of load that is to be listed, not served, and its rules.
    pub source: Option<(Source, Rules)>,
}

/// The text of a source of load, by its form.
pub enum Source {
    /// A HAR file.
    Har(String),
    /// An access log.
    AccessLog(String),
}

/// Files that the arguments name.
#[derive(Clone, Debug, Default)]
pub struct Files {
    /// The operator file.
    pub operator: Option<PathBuf>,
    /// The NVMe front's map.
    pub nvme: Option<PathBuf>,
    /// A source of load that is to be listed.
    pub har: Option<PathBuf>,
    /// The same, as an access log.
    pub access_log: Option<PathBuf>,
    /// The rules for that.
    pub rules: Option<PathBuf>,
}

/// Reads the file that the environment names, and those that the arguments name.
///
/// # Errors
/// The first field that makes no sense, or the file that can't be read.
pub fn load(files: &Files) -> Result<Config, ConfigError> {
    let mut config = environment()?;
    if let Some(path) = &files.operator {
        config.operator = Operator::load(&this_program(), path, Some(&config.deployment))?;
        config.nvme = config.operator.nvme.clone();
    }
    if let Some(path) = &files.nvme {
        if config.nvme.is_some() {
            return Err(ConfigError::value("--nvme", "set in the operator file too"));
        }
        config.nvme = Some(Map::parse(&read("--nvme", path)?, &config.deployment)?);
    }
    let source = match (&files.har, &files.access_log) {
        (Some(path), _) => Some(Source::Har(read("--har", path)?)),
        (None, Some(path)) => Some(Source::AccessLog(read("--access-log", path)?)),
        (None, None) => None,
    };
    config.source = match (source, &files.rules) {
        (None, None) => None,
        (None, Some(_)) => return Err(ConfigError::missing("--har or --access-log")),
        (Some(_), None) => return Err(ConfigError::missing("--rules")),
        (Some(source), Some(path)) => {
            let deployment = Arc::new(config.deployment.clone());
            Some((source, Rules::parse(&read("--rules", path)?, deployment)?))
        }
    };
    Ok(config)
}

/// Reads the file that the environment names.
fn environment() -> Result<Config, ConfigError> {
    let path = std::env::var_os("GW_CONFIG").ok_or_else(|| ConfigError::missing("GW_CONFIG"))?;
    let mut config = parse(&read("GW_CONFIG", Path::new(&path))?)?;
    if let (None, Ok(ops)) = (config.ops, std::env::var("GW_OPS")) {
        config.ops = Some(ops.parse().map_err(|_| ConfigError::value("GW_OPS", &ops))?);
    }
    Ok(config)
}

/// The text of a file that a field or an argument names.
///
/// # Errors
/// The field, with the path and what the system says of it; a file over 16 MB is not read.
pub fn read(field: &str, path: &Path) -> Result<String, ConfigError> {
    let error =
        |why: String| ConfigError { field: field.to_owned(), why: format!("{}: {why}", path.display()) };
    let size = std::fs::metadata(path).map_err(|e| error(e.to_string()))?.len();
    if size > LONGEST_FILE {
        return Err(error(format!("{size} bytes, {LONGEST_FILE} at most")));
    }
    std::fs::read_to_string(path).map_err(|e| error(e.to_string()))
}

/// Decodes a configuration.
pub fn parse(text: &str) -> Result<Config, ConfigError> {
    let broken = |_| ConfigError { field: "configuration".to_owned(), why: "not JSON".to_owned() };
    let value: Value = json::from_str(text).map_err(broken)?;
    let tree = Tree(&value);
    let seed = tree.need("seed")?;
    let sockets = tree.or("limits.sockets", SOCKETS)?;
    if sockets < LEAST_SOCKETS {
        return Err(ConfigError::value("limits.sockets", &sockets.to_string()));
    }
    let section = |name: &str| match &value {
        Value::Object(object) => object.get(name).ok_or_else(|| ConfigError::missing(name)),
        _ => Err(ConfigError::missing(name)),
    };
    let inside = |error: ConfigError| ConfigError { field: format!("settings.{}", error.field), ..error };
    let known = discovery::parse(&json::to_string(section("known")?));
    let known = known.map_err(|why| ConfigError { field: "known".to_owned(), why })?;
    let deployment = Deployment::read(&Tree(section("settings")?)).map_err(inside)?;
    let checked = deployment.settings.check();
    checked.map_err(|e| ConfigError { field: "settings".to_owned(), why: e.to_string() })?;
    Ok(Config {
        name: tree.or("name", "heathward".to_owned())?,
        listen: tree.number("listen")?,
        ops: match tree.get("ops") {
            Some(_) => Some(tree.number("ops")?),
            None => None,
        },
        discovery: tree.number("discovery")?,
        seed: u64::from_str_radix(&seed, 16).map_err(|_| ConfigError::value("seed", &seed))?,
        sockets,
        known: DiscoveryUpdate { kind: ListKind::Saved, ..known },
        deployment,
        nvme: None,
        operator: Operator::default(),
        source: None,
    })
}
