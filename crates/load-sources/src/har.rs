//! HAR, version 1.2: the entries of a recorded session.

use bytes::Bytes;
use miniserde::json::{self, Value};
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

use super::{micros, Entry, Recorded, Rules, Skipped};
use heathward_core::MAX_BUFFERED_BODY_BYTES;
use heathward_policy::settings::{JsonSource, SettingsSource};

/// The requests of a HAR file, in its order. A file that is no HAR at all is skipped as a whole, in place 0.
pub fn har(text: &str, rules: &Rules) -> Vec<Result<Recorded, Skipped>> {
    let whole = |why: &str| vec![Err(Skipped { place: 0, why: why.to_owned() })];
    let Ok(value) = json::from_str::<Value>(text) else { return whole("not JSON") };
    let entries = match &value {
        Value::Object(file) => file.get("log").and_then(|log| match log {
            Value::Object(log) => log.get("entries"),
            _ => None,
        }),
        _ => None,
    };
    let Some(Value::Array(entries)) = entries else { return whole("no list at log.entries") };
    let numbered = entries.iter().zip(1..);
    numbered.map(|(entry, place)| one(entry, place, rules).map_err(|why| Skipped { place, why })).collect()
}

fn one(entry: &Value, place: usize, rules: &Rules) -> Result<Recorded, String> {
    let entry = JsonSource(entry);
    let need = |name: &str| entry.required(name).map_err(|error| error.to_string());
    let started = need("startedDateTime")?;
    let at = OffsetDateTime::parse(&started, &Rfc3339).ok().and_then(micros);
    let at = at.ok_or_else(|| format!("startedDateTime: {started:?}"))?;
    let (method, url) = (need("request.method")?, need("request.url")?);
    let (owner, target) = split(&url).ok_or_else(|| format!("request.url: {url:?}"))?;
    let body = entry.get("request.postData.text").unwrap_or_default().into_owned();
    if body.len() > MAX_BUFFERED_BODY_BYTES {
        return Err(format!(
            "request.postData.text: {} bytes, {MAX_BUFFERED_BODY_BYTES} at most",
            body.len()
        ));
    }
    // The sizes are -1 where the recorder did not know them.
    let size = |name: &str| entry.number_or(name, 0.0_f64).map_err(|error| error.to_string());
    let moved = size("response.content.size")?.max(size("request.bodySize")?).max(body.len() as f64);
    let (bytes, body) = (moved as u64, Bytes::from(body));
    rules.request(place, Entry { at, method: &method, target, owner, bytes, body })
}

/// The host of an absolute address, and its path with the query.
fn split(url: &str) -> Option<(&str, &str)> {
    let (scheme, rest) = url.split_once("://")?;
    let at = rest.find(['/', '?', '#']).unwrap_or(rest.len());
    let (host, target) = rest.split_at(at);
    let sound = matches!(scheme, "http" | "https") && !host.is_empty();
    sound.then_some((host, if target.starts_with('/') { target } else { "/" }))
}
