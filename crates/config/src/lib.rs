//! The program's configuration: the platform's JSON file, which `GW_CONFIG` names, and the files that the
//! command line names. Each is read and checked as a whole before any of it is applied.
//!
//! The names of the settings are part of the interface and must not change; this crate and
//! `heathward_policy::settings` map them to the names in the code. Every error is a
//! [`ConfigError`](heathward_policy::settings::ConfigError), which names the field at fault by its path in
//! the file.

mod check;
mod configuration;
mod files;
mod jsonnet;
mod operator;

pub use check::{check_file, first_deployment, FileKind};
pub use configuration::{parse_configuration, Config, LoadListing, LoadSource};
pub use files::{load, read_text_file, FileArguments};
pub use jsonnet::{current_executable, evaluate_jsonnet, limit_process_resources};
pub use operator::{LogSettings, OperatorSettings};
