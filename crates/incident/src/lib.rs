//! What records of one or many schedulers come to. No I/O and no clock: whoever calls reads the segments.
//!
//! Each boot's items are folded in one pass ([`Fold`]), in memory that does not grow with the length of the
//! day; [`Incident::of`] brings the boots onto one clock ([`clocks`]), adds them up, audits the rules
//! ([`audit`]) and says in sentences what happened ([`findings`]).

pub mod audit;
pub mod clocks;
pub mod findings;
mod fold;
mod series;
mod timeline;

pub use fold::{Fold, Hole, Missing, Span, Step};
pub use series::{ClassCounts, NodeCounts, Series, Sum, Times, BINS, SECOND};
pub use timeline::{Boot, ClassTable, Ending, HoleSeen, Incident, Lane, NodeTable, SpanSeen, Window};
