//! Access logs in the Common Log Format, or the Combined one, which adds two fields.

use bytes::Bytes;
use time::format_description::BorrowedFormatItem;
use time::macros::format_description;
use time::OffsetDateTime;

use super::{micros, Entry, Recorded, Rules, Skipped};

const TIME: &[BorrowedFormatItem<'_>] = format_description!(
    "[day]/[month repr:short]/[year]:[hour]:[minute]:[second] [offset_hour sign:mandatory][offset_minute]"
);

/// The requests of a log, in its order; empty lines are passed over.
pub fn access_log(text: &str, rules: &Rules) -> Vec<Result<Recorded, Skipped>> {
    let lines = text.lines().zip(1..).filter(|(line, _)| !line.trim().is_empty());
    lines.map(|(line, place)| one(line, place, rules).map_err(|why| Skipped { place, why })).collect()
}

/// `host ident user [time] "request" status bytes`, perhaps followed by `"referer" "agent"`.
fn one(line: &str, place: usize, rules: &Rules) -> Result<Recorded, String> {
    let missing = |what: &str| format!("no {what}");
    let (owner, rest) = line.split_once(' ').ok_or_else(|| missing("host"))?;
    let (_, rest) = rest.split_once(" [").ok_or_else(|| missing("time"))?;
    let (time, rest) = rest.split_once("] \"").ok_or_else(|| missing("request"))?;
    let at = OffsetDateTime::parse(time, TIME).ok().and_then(micros);
    let at = at.ok_or_else(|| format!("time {time:?}"))?;
    let end = closing_quote(rest).ok_or_else(|| missing("end of the request"))?;
    let (request, rest) = (&rest[..end], &rest[end + 1..]);
    let words: Vec<&str> = request.split(' ').collect();
    let [method, target, version] = words[..] else { return Err(format!("request {request:?}")) };
    if !version.starts_with("HTTP/") {
        return Err(format!("request {request:?}"));
    }
    let mut words = rest.split_ascii_whitespace();
    let status = words.next().ok_or_else(|| missing("status"))?;
    let sound = status.len() == 3 && status.bytes().all(|b| b.is_ascii_digit());
    if !sound {
        return Err(format!("status {status:?}"));
    }
    let bytes = match words.next().ok_or_else(|| missing("size"))? {
        "-" => 0,
        size => size.parse().map_err(|_| format!("size {size:?}"))?,
    };
    rules.request(place, Entry { at, method, target, owner, bytes, body: Bytes::new() })
}

/// The first quote that no backslash takes away.
fn closing_quote(text: &str) -> Option<usize> {
    let mut escaped = false;
    text.bytes().position(|byte| {
        let ends = byte == b'"' && !escaped;
        escaped = byte == b'\\' && !escaped;
        ends
    })
}
