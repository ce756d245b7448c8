//! Cancel on drop: a front that drops the wait for an answer has lost its client, and that is never lost on
//! the core, however full its mailbox is.

use std::sync::{Arc, Mutex, PoisonError};

use heathward_policy::RequestId;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Requests whose clients have left, until the core takes note of them. Each call adds one at most, and a
/// call is here only once it has found room in the core's mailbox: so it holds no more than that mailbox and
/// the open requests do together.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    left: Mutex<Vec<RequestId>>,
    told: Notify,
}

impl Departures {
    fn leave(&self, id: RequestId) {
        self.left.lock().unwrap_or_else(PoisonError::into_inner).push(id);
        self.told.notify_one();
    }

    /// Returns once somebody has left.
    pub(crate) async fn told(&self) {
        self.told.notified().await;
    }

    /// Who has left since this was asked last.
    pub(crate) fn take(&self) -> Vec<RequestId> {
        std::mem::take(&mut *self.left.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Cancels a request when it is dropped before its answer has come. Whoever writes sees the token at once,
/// the core at its next turn.
#[derive(Debug)]
pub(crate) struct CancelOnDrop {
    departures: Arc<Departures>,
    id: RequestId,
    cancel: CancellationToken,
    answered: bool,
}

impl CancelOnDrop {
    /// For a request that the core has been told of.
    pub(crate) fn new(departures: Arc<Departures>, id: RequestId, cancel: CancellationToken) -> Self {
        Self { departures, id, cancel, answered: false }
    }

    /// Its answer is here.
    pub(crate) fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.answered {
            self.cancel.cancel();
            self.departures.leave(self.id);
        }
    }
}
