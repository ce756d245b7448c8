//! The program's configuration: the JSON file that `GW_CONFIG` names, and those that its arguments name.

use std::net::SocketAddr;
use std::sync::Arc;

use miniserde::json::{self, Value};

use heathward_core::News;
use heathward_load::Rules;
use heathward_module::settings::{ConfigError, Deployment, Named, Tree};
use heathward_module::ListKind;
use heathward_wires::discovery;
use heathward_wires::nvme::Map;

/// Descriptors where the file sets no limit.
const SOCKETS: usize = 1024;
/// With fewer there is no room for clients and nodes.
const LEAST_SOCKETS: usize = 64;

/// All that the program is told.
pub struct Config {
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
    pub known: News,
    /// The settings.
    pub deployment: Deployment,
    /// The NVMe front, where it is on.
    pub nvme: Option<Map>,
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

/// Reads the file that the environment names, and the one that the arguments may.
pub fn load(mut arguments: impl Iterator<Item = String>) -> Result<Config, ConfigError> {
    let mut config = reread()?;
    let (mut source, mut rules) = (None, None);
    while let Some(argument) = arguments.next() {
        let mut value = || arguments.next().ok_or_else(|| ConfigError::missing(&argument));
        match argument.as_str() {
            "--nvme" => config.nvme = Some(Map::parse(&read("--nvme", &value()?)?, &config.deployment)?),
            "--har" => source = Some(Source::Har(read("--har", &value()?)?)),
            "--access-log" => source = Some(Source::AccessLog(read("--access-log", &value()?)?)),
            "--rules" => rules = Some(read("--rules", &value()?)?),
            _ => return Err(ConfigError::value("argument", &argument)),
        }
    }
    config.source = match (source, rules) {
        (None, None) => None,
        (None, Some(_)) => return Err(ConfigError::missing("--har or --access-log")),
        (Some(_), None) => return Err(ConfigError::missing("--rules")),
        (Some(source), Some(rules)) => {
            Some((source, Rules::parse(&rules, Arc::new(config.deployment.clone()))?))
        }
    };
    Ok(config)
}

/// Reads the file that the environment names, as it is now.
pub fn reread() -> Result<Config, ConfigError> {
    let path = std::env::var("GW_CONFIG").map_err(|_| ConfigError::missing("GW_CONFIG"))?;
    let mut config = parse(&read("GW_CONFIG", &path)?)?;
    if let (None, Ok(ops)) = (config.ops, std::env::var("GW_OPS")) {
        config.ops = Some(ops.parse().map_err(|_| ConfigError::value("GW_OPS", &ops))?);
    }
    Ok(config)
}

fn read(field: &str, path: &str) -> Result<String, ConfigError> {
    let text = std::fs::read_to_string(path);
    text.map_err(|e| ConfigError { field: field.to_owned(), why: format!("{path}: {e}") })
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
        listen: tree.number("listen")?,
        ops: match tree.get("ops") {
            Some(_) => Some(tree.number("ops")?),
            None => None,
        },
        discovery: tree.number("discovery")?,
        seed: u64::from_str_radix(&seed, 16).map_err(|_| ConfigError::value("seed", &seed))?,
        sockets,
        known: News { kind: ListKind::Saved, ..known },
        deployment,
        nvme: None,
        source: None,
    })
}
