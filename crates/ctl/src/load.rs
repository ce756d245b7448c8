//! Sources of load.

use heathward_config::read_text_file;
use heathward_load_sources::{access_log, har, Rules};
use heathward_policy::settings::ConfigError;

use crate::cli::SourceOf;
use crate::outcome::Outcome;

/// Lists what a source of load asks for, a line each, and says what was skipped of it.
pub fn list(source: &SourceOf) -> Outcome {
    match found(source) {
        Ok(0) => Outcome::Done,
        Ok(skipped) => {
            eprintln!("heathwardctl: {skipped} entries skipped");
            Outcome::Refused
        }
        Err(error) => Outcome::wrong_use(error),
    }
}

/// How many entries were skipped.
fn found(source: &SourceOf) -> Result<usize, ConfigError> {
    let rules = Rules::alone(&read_text_file("--rules", &source.rules)?)?;
    let entries = match (&source.har, &source.access_log) {
        (Some(path), _) => har(&read_text_file("--har", path)?, &rules),
        (None, Some(path)) => access_log(&read_text_file("--access-log", path)?, &rules),
        (None, None) => return Err(ConfigError::missing("--har or --access-log")),
    };
    let mut skipped = 0;
    for entry in entries {
        match entry {
            Ok(recorded) => println!("{recorded}"),
            Err(entry) => {
                eprintln!("heathwardctl: skipped {entry}");
                skipped += 1;
            }
        }
    }
    Ok(skipped)
}
