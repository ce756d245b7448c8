//! Finds and reads the files: the one that the environment names, and those that the command line names.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use heathward_load_sources::Rules;
use heathward_policy::settings::ConfigError;
use heathward_transport::nvme::NvmeMap;

use crate::configuration::{parse_configuration, Config, LoadListing, LoadSource};
use crate::jsonnet::current_executable;
use crate::operator::OperatorSettings;

/// The largest file that is read, bytes.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// The files that the command line names.
#[derive(Clone, Debug, Default)]
pub struct FileArguments {
    /// The operator file, Jsonnet.
    pub operator: Option<PathBuf>,
    /// The map of the NVMe front, JSON.
    pub nvme_map: Option<PathBuf>,
    /// A load source to be listed, HAR.
    pub har: Option<PathBuf>,
    /// A load source to be listed, an access log.
    pub access_log: Option<PathBuf>,
    /// The rules for a load source, JSON.
    pub load_rules: Option<PathBuf>,
}

/// Reads the configuration that the environment names, and the files that the command line names.
///
/// # Errors
/// The first field that is missing or invalid, or the file that cannot be read.
pub fn load(files: &FileArguments) -> Result<Config, ConfigError> {
    let mut config = read_configuration()?;
    if let Some(path) = &files.operator {
        config.operator_settings =
            OperatorSettings::load(&current_executable(), path, Some(&config.deployment))?;
        config.nvme_map = config.operator_settings.nvme_map.clone();
    }
    if let Some(path) = &files.nvme_map {
        if config.nvme_map.is_some() {
            return Err(ConfigError::invalid("--nvme", "set in the operator file too"));
        }
        config.nvme_map = Some(NvmeMap::parse(&read_text_file("--nvme", path)?, &config.deployment)?);
    }
    config.load_listing = read_load_listing(files, &config)?;
    Ok(config)
}

/// The load source that the command line names, with its rules.
fn read_load_listing(files: &FileArguments, config: &Config) -> Result<Option<LoadListing>, ConfigError> {
    let source = match (&files.har, &files.access_log) {
        (Some(path), _) => Some(LoadSource::Har(read_text_file("--har", path)?)),
        (None, Some(path)) => Some(LoadSource::AccessLog(read_text_file("--access-log", path)?)),
        (None, None) => None,
    };
    match (source, &files.load_rules) {
        (None, None) => Ok(None),
        (None, Some(_)) => Err(ConfigError::missing("--har or --access-log")),
        (Some(_), None) => Err(ConfigError::missing("--rules")),
        (Some(source), Some(path)) => {
            let deployment = Arc::new(config.deployment.clone());
            let rules = Rules::parse(&read_text_file("--rules", path)?, deployment)?;
            Ok(Some(LoadListing { source, rules }))
        }
    }
}

/// Reads the configuration that `GW_CONFIG` names. `GW_OPS` is the address of the admin interface if the
/// configuration names none.
fn read_configuration() -> Result<Config, ConfigError> {
    let path = std::env::var_os("GW_CONFIG").ok_or_else(|| ConfigError::missing("GW_CONFIG"))?;
    let mut config = parse_configuration(&read_text_file("GW_CONFIG", Path::new(&path))?)?;
    if let (None, Ok(address)) = (config.admin_address, std::env::var("GW_OPS")) {
        let parsed = address.parse().map_err(|_| ConfigError::invalid("GW_OPS", &address))?;
        config.admin_address = Some(parsed);
    }
    Ok(config)
}

/// The text of a file that a field or an argument names.
///
/// # Errors
/// The field, with the path and the system's message; or that the file is larger than 16 MiB.
pub fn read_text_file(field: &str, path: &Path) -> Result<String, ConfigError> {
    let error = |reason: String| ConfigError {
        field: field.to_owned(),
        reason: format!("{}: {reason}", path.display()),
    };
    let size = std::fs::metadata(path).map_err(|e| error(e.to_string()))?.len();
    if size > MAX_FILE_BYTES {
        return Err(error(format!("{size} bytes, {MAX_FILE_BYTES} at most")));
    }
    std::fs::read_to_string(path).map_err(|e| error(e.to_string()))
}
