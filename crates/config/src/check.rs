//! Checks files without applying any: whether a file would be accepted, and which field is at fault if not.

use std::path::Path;

use heathward_load_sources::Rules;
use heathward_policy::settings::{ConfigError, Deployment};
use heathward_transport::nvme::NvmeMap;
use miniserde::json::{self, Value};

use crate::configuration::parse_configuration;
use crate::files::read_text_file;
use crate::jsonnet::current_executable;
use crate::operator::OperatorSettings;

/// The kind of a file, told by its name or its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// The platform's configuration.
    Configuration,
    /// The map of the NVMe front.
    NvmeMap,
    /// Rules for a load source.
    Rules,
    /// The operator file.
    Operator,
}

impl FileKind {
    /// The name that messages use.
    pub fn display_name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::NvmeMap => "NVMe map",
            Self::Rules => "rules for a source of load",
            Self::Operator => "operator file",
        }
    }

    /// The kind of JSON file that has such fields; `None` if there is no such kind or the text is not JSON.
    fn detect(text: &str) -> Option<Self> {
        let Ok(Value::Object(object)) = json::from_str(text) else { return None };
        if object.contains_key("settings") {
            Some(Self::Configuration)
        } else if object.contains_key("namespaces") {
            Some(Self::NvmeMap)
        } else if object.contains_key("unit_bytes") {
            Some(Self::Rules)
        } else {
            None
        }
    }
}

/// Checks one file and says of which kind it is. Names of classes and plans in it are looked up in
/// `deployment`; without a deployment, rules are checked by themselves.
///
/// # Errors
/// The field at fault; or that a configuration is needed to check the file.
pub fn check_file(path: &Path, deployment: Option<&Deployment>) -> Result<FileKind, ConfigError> {
    if path.extension().is_some_and(|extension| extension == "jsonnet") {
        OperatorSettings::load(&current_executable(), path, deployment)?;
        return Ok(FileKind::Operator);
    }
    let text = read_text_file("file", path)?;
    let unknown_kind = || ConfigError {
        field: "file".to_owned(),
        reason: "not JSON, or neither a configuration, an NVMe map nor rules, and no .jsonnet".to_owned(),
    };
    let kind = FileKind::detect(&text).ok_or_else(unknown_kind)?;
    match kind {
        FileKind::Configuration => parse_configuration(&text).map(drop)?,
        FileKind::NvmeMap => {
            let no_configuration = || ConfigError::missing("a configuration that the NVMe map goes with");
            NvmeMap::parse(&text, deployment.ok_or_else(no_configuration)?).map(drop)?;
        }
        FileKind::Rules => match deployment {
            Some(deployment) => Rules::parse(&text, deployment.clone().into()).map(drop)?,
            None => Rules::alone(&text).map(drop)?,
        },
        // An operator file is told by its name, above.
        FileKind::Operator => {}
    }
    Ok(kind)
}

/// The deployment of the first valid configuration among these files, if there is one.
pub fn first_deployment<'a>(paths: impl IntoIterator<Item = &'a Path>) -> Option<Deployment> {
    let deployment_of = |path: &Path| {
        let text = read_text_file("file", path).ok()?;
        Some(parse_configuration(&text).ok()?.deployment)
    };
    paths.into_iter().find_map(deployment_of)
}
