//! Lists a source of load, and sends nothing.

use heathward_config::LoadSource;
use heathward_load_sources::{self as load, Rules};

/// Writes what a source of load asks for, a line each, and what was skipped of it.
pub fn print(source: &LoadSource, rules: &Rules) {
    let found = match source {
        LoadSource::Har(text) => load::har(text, rules),
        LoadSource::AccessLog(text) => load::access_log(text, rules),
    };
    for entry in found {
        match entry {
            Ok(recorded) => println!("{recorded}"),
            Err(skipped) => eprintln!("heathward: skipped {skipped}"),
        }
    }
}
