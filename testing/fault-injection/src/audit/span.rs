//! Spans of time in a log.

use super::Micros;

/// A span of time; both ends belong to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    /// Its first moment.
    pub from: Micros,
    /// Its last moment, not before the first.
    pub to: Micros,
}

impl Span {
    /// The span between two moments.
    pub fn new(from: Micros, to: Micros) -> Self {
        Self { from, to }
    }
}

/// The spans in order, those that meet as one, so that no time counts twice.
pub(super) fn merged(mut spans: Vec<Span>) -> Vec<Span> {
    spans.sort_unstable();
    let mut merged: Vec<Span> = Vec::new();
    for span in spans {
        match merged.last_mut() {
            Some(last) if span.from <= last.to => last.to = last.to.max(span.to),
            _ => merged.push(span),
        }
    }
    merged
}
