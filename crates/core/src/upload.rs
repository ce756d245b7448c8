//! A request's body that is still being received while the request is already being handled.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};
use tokio_util::sync::CancellationToken;

use super::body::BodyStream;

/// The body of a request, of which only a part was received so far. The time budget of the request starts
/// with the last byte of the body. All clones share one upload.
#[derive(Clone, Debug)]
pub struct Upload(Arc<UploadState>);

#[derive(Debug)]
struct UploadState {
    content_length: Option<u64>,
    time_budget: Duration,
    body: Mutex<Option<BodyStream>>,
    completed_at: watch::Sender<Option<Instant>>,
    /// Cancelled when the node has stopped reading the body.
    abandoned: CancellationToken,
}

impl Upload {
    /// Creates an upload of `content_length` bytes in total, if that was announced, whose client waits for
    /// its answer for `time_budget` after the last byte.
    pub fn new(content_length: Option<u64>, time_budget: Duration, body: BodyStream) -> Self {
        Self(Arc::new(UploadState {
            content_length,
            time_budget,
            body: Mutex::new(Some(body)),
            completed_at: watch::channel(None).0,
            abandoned: CancellationToken::new(),
        }))
    }

    /// Returns the length of the complete body in bytes, if the client announced it.
    pub fn content_length(&self) -> Option<u64> {
        self.0.content_length
    }

    /// Returns how long the client waits for its answer after the last byte.
    pub fn time_budget(&self) -> Duration {
        self.0.time_budget
    }

    /// Records that the last byte has arrived now.
    pub fn mark_complete(&self) {
        self.0.completed_at.send_replace(Some(Instant::now()));
    }

    /// Returns when the last byte arrived; `None` while the body is still being received.
    pub fn completed_at(&self) -> Option<Instant> {
        *self.0.completed_at.borrow()
    }

    /// Abandons the upload because the node did not read a chunk in time; its attempt ends.
    pub fn abandon(&self) {
        self.0.abandoned.cancel();
    }

    /// Returns once the time budget after the last byte is used up, or the upload was abandoned.
    pub async fn expired(&self) {
        let mut completed_at = self.0.completed_at.subscribe();
        // The wait can't fail: `self` holds the sender.
        let completed_at = tokio::select! {
            completed_at = completed_at.wait_for(Option::is_some) => completed_at.ok().and_then(|at| *at),
            () = self.0.abandoned.cancelled() => return,
        };
        sleep_until(completed_at.unwrap_or_else(Instant::now) + self.0.time_budget).await;
    }

    fn lock_body(&self) -> MutexGuard<'_, Option<BodyStream>> {
        self.0.body.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether no attempt has started to send the body.
    pub fn is_unsent(&self) -> bool {
        self.lock_body().is_some()
    }

    /// Takes the body; returns `None` if it was taken before, as chunks that were sent to a node can't be
    /// sent again.
    pub fn take_body(&self) -> Option<BodyStream> {
        self.lock_body().take()
    }
}
