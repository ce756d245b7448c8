//! Named values: a common interface to the simulator's name-value pairs and to JSON documents.

use std::borrow::Cow;

use miniserde::json::{Number, Value};

use super::error::ConfigError;
use crate::api::Micros;

/// Microseconds in a millisecond, the unit of durations on the wire.
const MICROS_PER_MS: f64 = 1000.0;
/// Maximum of a duration in microseconds: whole numbers up to this value are exact in floating point.
const MAX_DURATION_US: f64 = 9.0e15;

/// Values that are looked up by name. The length of a list has the list's name and `.count`; its items have
/// `.0`, `.1`, …
pub trait SettingsSource {
    /// Returns the value of a name as text, if there is one.
    fn get(&self, name: &str) -> Option<Cow<'_, str>>;

    /// Returns a required value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is missing.
    fn required(&self, name: &str) -> Result<Cow<'_, str>, ConfigError> {
        self.get(name).ok_or_else(|| ConfigError::missing(name))
    }

    /// Returns a required number.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is missing or not a number of this type.
    fn required_number<T: std::str::FromStr>(&self, name: &str) -> Result<T, ConfigError> {
        parse(name, &self.required(name)?)
    }

    /// Returns a number, or another value that is parsed from its text; `default` if it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not of this type.
    fn number_or<T: std::str::FromStr>(&self, name: &str, default: T) -> Result<T, ConfigError> {
        self.get(name).map_or(Ok(default), |value| parse(name, &value))
    }

    /// Returns a boolean; false if it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is none of `true`, `false`, `1` and `0`.
    fn flag(&self, name: &str) -> Result<bool, ConfigError> {
        match self.get(name).as_deref() {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(ConfigError::invalid(name, other)),
        }
    }

    /// Returns a finite number of at least 0; 0 if it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not such a number.
    fn non_negative(&self, name: &str) -> Result<f64, ConfigError> {
        let value: f64 = self.number_or(name, 0.0)?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(ConfigError::invalid(name, &value.to_string()))
        }
    }

    /// Returns a whole number; 0 if it is absent. It may be written with a fraction of zero.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is negative, has a fraction, or is too large.
    fn whole_number(&self, name: &str) -> Result<u32, ConfigError> {
        let value = self.non_negative(name)?;
        if value.fract() == 0.0 && value <= f64::from(u32::MAX) {
            Ok(value as u32)
        } else {
            Err(ConfigError::invalid(name, &value.to_string()))
        }
    }

    /// Returns a duration given in milliseconds; 0 if it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is negative, not a number, or too long.
    fn duration_from_ms(&self, name: &str) -> Result<Micros, ConfigError> {
        let micros = (self.non_negative(name)? * MICROS_PER_MS).round();
        if micros < MAX_DURATION_US {
            Ok(micros as Micros)
        } else {
            Err(ConfigError::invalid(name, "too large"))
        }
    }

    /// Returns a required instant or duration given in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is missing, negative, not a number, or too long.
    fn required_duration_from_ms(&self, name: &str) -> Result<Micros, ConfigError> {
        self.required(name)?;
        self.duration_from_ms(name)
    }

    /// Returns the index of a required name in a list of known names.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is missing or not known.
    fn index_of(&self, name: &str, known: &[String]) -> Result<u16, ConfigError> {
        let value = self.required(name)?;
        let index = known.iter().position(|known| *known == value);
        index.map(|index| index as u16).ok_or_else(|| ConfigError::invalid(name, &value))
    }
}

fn parse<T: std::str::FromStr>(name: &str, value: &str) -> Result<T, ConfigError> {
    value.parse().map_err(|_| ConfigError::invalid(name, value))
}

/// A JSON document whose values are looked up by their paths, such as `plans.0.name`.
pub struct JsonSource<'a>(pub &'a Value);

impl SettingsSource for JsonSource<'_> {
    fn get(&self, name: &str) -> Option<Cow<'_, str>> {
        let mut value = self.0;
        for segment in name.split('.') {
            value = match value {
                Value::Object(object) => object.get(segment)?,
                Value::Array(items) if segment == "count" => return Some(items.len().to_string().into()),
                Value::Array(items) => items.get(segment.parse::<usize>().ok()?)?,
                _ => return None,
            };
        }
        text_of(value)
    }
}

/// Returns a value as text; the items of a list are separated by commas.
fn text_of(value: &Value) -> Option<Cow<'_, str>> {
    match value {
        Value::Null | Value::Object(_) => None,
        Value::Bool(true) => Some("true".into()),
        Value::Bool(false) => Some("false".into()),
        Value::Number(Number::U64(number)) => Some(number.to_string().into()),
        Value::Number(Number::I64(number)) => Some(number.to_string().into()),
        Value::Number(Number::F64(number)) => Some(number.to_string().into()),
        Value::String(text) => Some(text.as_str().into()),
        Value::Array(items) => Some(items.iter().filter_map(text_of).collect::<Vec<_>>().join(",").into()),
    }
}
