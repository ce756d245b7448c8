//! Reports client disconnects to the core. A front end drops the future of an answer when its client has
//! disconnected; the core is always notified of it, even while its request channel is full.

use std::sync::{Arc, Mutex, PoisonError};

use heathward_policy::RequestId;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Requests whose clients have disconnected and that the core has not dropped yet.
///
/// Its size is bounded: a request adds one entry at most, and only after it was accepted into the request
/// channel. So there are never more entries than requests in that channel and open requests together.
#[derive(Debug, Default)]
pub(crate) struct ClientDisconnects {
    pending: Mutex<Vec<RequestId>>,
    notify: Notify,
}

impl ClientDisconnects {
    fn record(&self, request: RequestId) {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner).push(request);
        self.notify.notify_one();
    }

    /// Returns once a client has disconnected.
    pub(crate) async fn notified(&self) {
        self.notify.notified().await;
    }

    /// Returns the requests whose clients have disconnected since the last call.
    pub(crate) fn take_all(&self) -> Vec<RequestId> {
        std::mem::take(&mut *self.pending.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Cancels a request if it is dropped before the answer. Tasks that write to nodes see the cancelled token at
/// once, the core on its next turn.
#[derive(Debug)]
pub(crate) struct CancelOnDrop {
    disconnects: Arc<ClientDisconnects>,
    request: RequestId,
    cancel: CancellationToken,
    answered: bool,
}

impl CancelOnDrop {
    /// Creates a guard for a request that was accepted into the core's request channel.
    pub(crate) fn new(
        disconnects: Arc<ClientDisconnects>,
        request: RequestId,
        cancel: CancellationToken,
    ) -> Self {
        Self { disconnects, request, cancel, answered: false }
    }

    /// Disarms the guard after the answer has arrived.
    pub(crate) fn disarm(mut self) {
        self.answered = true;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.answered {
            self.cancel.cancel();
            self.disconnects.record(self.request);
        }
    }
}
