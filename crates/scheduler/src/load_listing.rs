//! Lists the requests of a load source without sending any.

use heathward_config::{LoadListing, LoadSource};
use heathward_load_sources as load_sources;

/// Prints the requests of a load source, one per line, and reports the entries that were skipped.
pub fn print(listing: &LoadListing) {
    let entries = match &listing.source {
        LoadSource::Har(text) => load_sources::har(text, &listing.rules),
        LoadSource::AccessLog(text) => load_sources::access_log(text, &listing.rules),
    };
    for entry in entries {
        match entry {
            Ok(request) => println!("{request}"),
            Err(skipped) => eprintln!("heathward: skipped {skipped}"),
        }
    }
}
