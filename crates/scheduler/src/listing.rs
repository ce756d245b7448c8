//! Lists a source of load, and sends nothing.

use heathward_config::Source;
use heathward_load_sources::{self as load, Rules};

/// Writes what a source of load asks for, a line each, and what was skipped of it.
pub fn print(source: &Source, rules: &Rules) {
    let found = match source {
        Source::Har(text) => load::har(text, rules),
        Source::AccessLog(text) => load::access_log(text, rules),
    };
    for entry in found {
        match entry {
            Ok(recorded) => println!("{recorded}"),
            Err(skipped) => eprintln!("heathward: skipped {skipped}"),
        }
    }
}
