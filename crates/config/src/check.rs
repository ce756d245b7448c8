//! Says of files whether they would be taken, without acting on any.

use std::path::Path;

use miniserde::json::{self, Value};

use heathward_load_sources::Rules;
use heathward_policy::settings::{ConfigError, Deployment};
use heathward_transport::nvme::Map;

use crate::{parse_configuration, read_text_file, this_program, OperatorSettings};

/// What a file is, by what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// The platform's configuration.
    Configuration,
    /// The NVMe front's map.
    NvmeMap,
    /// Rules for a source of load.
    Rules,
    /// The operator file.
    Operator,
}

impl FileKind {
    /// A name for people.
    pub fn display_name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::NvmeMap => "NVMe map",
            Self::Rules => "rules for a source of load",
            Self::Operator => "operator file",
        }
    }

    /// The kind that has such fields.
    fn detect(text: &str) -> Option<Self> {
        let Ok(Value::Object(object)) = json::from_str(text) else { return None };
        let has = |field: &str| object.contains_key(field);
        match () {
            () if has("settings") => Some(Self::Configuration),
            () if has("namespaces") => Some(Self::NvmeMap),
            () if has("unit_bytes") => Some(Self::Rules),
            () => None,
        }
    }
}

/// Checks one file; `deployment` is the one that names in it are held against, if there is any.
///
/// # Errors
/// The field at fault.
pub fn check_file(path: &Path, deployment: Option<&Deployment>) -> Result<FileKind, ConfigError> {
    if path.extension().is_some_and(|ending| ending == "jsonnet") {
        OperatorSettings::load(&this_program(), path, deployment)?;
        return Ok(FileKind::Operator);
    }
    let text = read_text_file("file", path)?;
    let unknown = || ConfigError {
        field: "file".to_owned(),
        reason: "not JSON, or neither a configuration, an NVMe map nor rules, and no .jsonnet".to_owned(),
    };
    let kind = FileKind::detect(&text).ok_or_else(unknown)?;
    match kind {
        FileKind::Configuration => parse_configuration(&text).map(drop)?,
        FileKind::NvmeMap => {
            let need = || ConfigError::missing("a configuration that the NVMe map goes with");
            Map::parse(&text, deployment.ok_or_else(need)?).map(drop)?;
        }
        FileKind::Rules => match deployment {
            Some(deployment) => Rules::parse(&text, deployment.clone().into()).map(drop)?,
            None => Rules::alone(&text).map(drop)?,
        },
        FileKind::Operator => {}
    }
    Ok(kind)
}

/// The deployment that a set of files is held against: that of the first configuration among them.
pub fn first_deployment<'a>(paths: impl IntoIterator<Item = &'a Path>) -> Option<Deployment> {
    let configuration = |path: &Path| {
        let text = read_text_file("file", path).ok()?;
        Some(parse_configuration(&text).ok()?.deployment)
    };
    paths.into_iter().find_map(configuration)
}
