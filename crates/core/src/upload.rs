//! A request's body that is still being received while the request is already being handled.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

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
    /// Why the upload was abandoned, if it was.
    abandoned: watch::Sender<Option<AbandonCause>>,
}

/// Why the rest of a body is not received any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonCause {
    /// There was no memory for a chunk.
    NoMemory,
    /// The node did not read a chunk, or there was none that could be sent it.
    NotRead,
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
            abandoned: watch::channel(None).0,
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

    /// Records that the last byte has arrived. The time of the client counts from `written_at`: the earliest
    /// time at which it can have written that byte.
    pub fn mark_complete(&self, written_at: Instant) {
        self.0.completed_at.send_replace(Some(written_at));
    }

    /// Returns how long the client still waits for its answer.
    pub fn time_left(&self) -> Duration {
        match self.completed_at() {
            Some(at) => (at + self.0.time_budget).saturating_duration_since(Instant::now()),
            None => self.0.time_budget,
        }
    }

    /// Returns from when the time of the client counts; `None` while the body is still being received.
    pub fn completed_at(&self) -> Option<Instant> {
        *self.0.completed_at.borrow()
    }

    /// Abandons the upload as a chunk was not taken while the client waits; its attempt ends.
    pub fn abandon(&self, cause: AbandonCause) {
        self.0.abandoned.send_replace(Some(cause));
    }

    /// Returns why the upload was abandoned; `None` if it was not.
    pub fn abandoned(&self) -> Option<AbandonCause> {
        *self.0.abandoned.borrow()
    }

    /// Waits until it is known when the client stops waiting for its answer, and returns that time: now, if
    /// the upload was abandoned.
    pub async fn deadline(&self) -> Instant {
        let (mut completed_at, mut abandoned) =
            (self.0.completed_at.subscribe(), self.0.abandoned.subscribe());
        // The waits can't fail: `self` holds the senders.
        let completed_at = tokio::select! {
            completed_at = completed_at.wait_for(Option::is_some) => completed_at.ok().and_then(|at| *at),
            _ = abandoned.wait_for(Option::is_some) => None,
        };
        completed_at.map_or_else(Instant::now, |at| at + self.0.time_budget)
    }

    /// Returns once the time budget after the last byte is used up, or the upload was abandoned.
    pub async fn expired(&self) {
        sleep_until(self.deadline().await).await;
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
