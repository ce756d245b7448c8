//! Says of files whether they would be taken, without acting on any.

use std::path::Path;

use miniserde::json::{self, Value};

use heathward_load_sources::Rules;
use heathward_policy::settings::{ConfigError, Deployment};
use heathward_transport::nvme::Map;

use crate::{parse, read, this_program, Operator};

/// What a file is, by what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The platform's configuration.
    Configuration,
    /// The NVMe front's map.
    NvmeMap,
    /// Rules for a source of load.
    Rules,
    /// The operator file.
    Operator,
}

impl Kind {
    /// A name for people.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::NvmeMap => "NVMe map",
            Self::Rules => "rules for a source of load",
            Self::Operator => "operator file",
        }
    }

    /// The kind that has such fields.
    fn of(text: &str) -> Option<Self> {
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
pub fn check(path: &Path, deployment: Option<&Deployment>) -> Result<Kind, ConfigError> {
    if path.extension().is_some_and(|ending| ending == "jsonnet") {
        Operator::load(&this_program(), path, deployment)?;
        return Ok(Kind::Operator);
    }
    let text = read("file", path)?;
    let unknown = || ConfigError {
        field: "file".to_owned(),
        why: "not JSON, or neither a configuration, an NVMe map nor rules, and no .jsonnet".to_owned(),
    };
    let kind = Kind::of(&text).ok_or_else(unknown)?;
    match kind {
        Kind::Configuration => parse(&text).map(drop)?,
        Kind::NvmeMap => {
            let need = || ConfigError::missing("a configuration that the NVMe map goes with");
            Map::parse(&text, deployment.ok_or_else(need)?).map(drop)?;
        }
        Kind::Rules => match deployment {
            Some(deployment) => Rules::parse(&text, deployment.clone().into()).map(drop)?,
            None => Rules::alone(&text).map(drop)?,
        },
        Kind::Operator => {}
    }
    Ok(kind)
}

/// The deployment that a set of files is held against: that of the first configuration among them.
pub fn deployment<'a>(paths: impl IntoIterator<Item = &'a Path>) -> Option<Deployment> {
    let configuration = |path: &Path| {
        let text = read("file", path).ok()?;
        Some(parse(&text).ok()?.deployment)
    };
    paths.into_iter().find_map(configuration)
}
