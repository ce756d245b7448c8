//! The error of a configuration.

use thiserror::Error;

/// A setting that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct ConfigError {
    /// Path of the setting.
    pub field: String,
    /// Reason why the value is invalid.
    pub reason: String,
}

impl ConfigError {
    /// Creates the error for a value that is not allowed.
    pub fn invalid(field: &str, value: &str) -> Self {
        Self { field: field.to_owned(), reason: format!("impossible value {value:?}") }
    }

    /// Creates the error for a required value that is absent.
    pub fn missing(field: &str) -> Self {
        Self { field: field.to_owned(), reason: "missing".to_owned() }
    }
}
