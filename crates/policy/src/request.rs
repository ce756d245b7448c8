//! The requests that this scheduler has received and that are not finished.

mod queued;
mod table;
mod tracked;

pub(crate) use queued::QueuedRequests;
pub(crate) use table::RequestTable;
pub(crate) use tracked::{PossibleExecution, RequestAttempt, RequestState, RequestTiming, TrackedRequest};
