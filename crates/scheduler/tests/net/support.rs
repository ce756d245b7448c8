//! What several tests share.

use heathward_core::Counters;
use heathward_policy::AttemptEnd;

/// The number of attempts that ended so.
pub fn count(counters: &Counters, end: AttemptEnd) -> u64 {
    let at = Counters::ATTEMPT_END_NAMES.iter().position(|(known, _)| *known == end).unwrap();
    counters.attempt_ends[at]
}
