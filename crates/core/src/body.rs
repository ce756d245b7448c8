//! What is too long to be held whole: it passes in pieces, no faster than it is taken.

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};
use tokio_util::sync::CancellationToken;

/// Pieces between the two ends: one waits while the next is made.
const WAITING: usize = 1;

enum Piece {
    More(Bytes),
    End,
}

/// Where pieces go in. Dropped before the end, it breaks the stream off.
pub struct BodySender(mpsc::Sender<Piece>);

/// Where they come out.
#[derive(Debug)]
pub struct BodyStream {
    coming: mpsc::Receiver<Piece>,
    over: bool,
}

impl std::fmt::Debug for Piece {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if matches!(self, Self::End) { "End" } else { "More" })
    }
}

/// The stream ended before its last piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyInterrupted;

impl std::fmt::Display for BodyInterrupted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("broken off")
    }
}

impl std::error::Error for BodyInterrupted {}

/// A stream and its two ends.
pub fn body_channel() -> (BodySender, BodyStream) {
    let (feed, coming) = mpsc::channel(WAITING);
    (BodySender(feed), BodyStream { coming, over: false })
}

impl BodySender {
    /// Passes a piece on once there is room. False if nobody takes it.
    pub async fn send(&self, piece: Bytes) -> bool {
        self.0.send(Piece::More(piece)).await.is_ok()
    }

    /// The last piece was passed on.
    pub async fn finish(self) -> bool {
        self.0.send(Piece::End).await.is_ok()
    }

    /// Returns once nobody takes pieces any more.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

impl BodyStream {
    /// The next piece; `None` after the last.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyInterrupted>>> {
        if self.over {
            return Poll::Ready(None);
        }
        let next = ready!(self.coming.poll_recv(cx));
        self.over = !matches!(next, Some(Piece::More(_)));
        Poll::Ready(match next {
            Some(Piece::More(piece)) => Some(Ok(piece)),
            Some(Piece::End) => None,
            None => Some(Err(BodyInterrupted)),
        })
    }

    /// All of it, if it holds no more than that and comes to its end.
    pub async fn collect(mut self, most: usize) -> Option<Bytes> {
        let mut all = Vec::new();
        while let Some(piece) = std::future::poll_fn(|cx| self.poll_next(cx)).await {
            all.extend_from_slice(&piece.ok()?);
            if all.len() > most {
                return None;
            }
        }
        Some(all.into())
    }
}

/// The rest of a request's body, which is still coming. Its deadline counts from its last byte.
#[derive(Clone, Debug)]
pub struct Upload(Arc<Coming>);

#[derive(Debug)]
struct Coming {
    length: Option<u64>,
    budget: Duration,
    pieces: Mutex<Option<BodyStream>>,
    ended: watch::Sender<Option<Instant>>,
    /// Nobody waits any longer for the node to take more of it.
    abandoned: CancellationToken,
}

impl Upload {
    /// Pieces of a body of that length in all, where it is told, and how long its client waits after the
    /// last.
    pub fn new(length: Option<u64>, budget: Duration, pieces: BodyStream) -> Self {
        let (pieces, ended) = (Mutex::new(Some(pieces)), watch::channel(None).0);
        let abandoned = CancellationToken::new();
        Self(Arc::new(Coming { length, budget, pieces, ended, abandoned }))
    }

    /// Length of the whole body, where it is told.
    pub fn content_length(&self) -> Option<u64> {
        self.0.length
    }

    /// How long its client waits after the last byte.
    pub fn time_budget(&self) -> Duration {
        self.0.budget
    }

    /// The last byte has come.
    pub fn mark_complete(&self) {
        self.0.ended.send_replace(Some(Instant::now()));
    }

    /// When it came.
    pub fn completed_at(&self) -> Option<Instant> {
        *self.0.ended.borrow()
    }

    /// The node has not taken a piece in time: its attempt ends.
    pub fn abandon(&self) {
        self.0.abandoned.cancel();
    }

    /// Returns once its client has waited as long as it will, or the node has let it wait for too long.
    pub async fn expired(&self) {
        let mut ended = self.0.ended.subscribe();
        // This holds the sender itself.
        let at = tokio::select! {
            at = ended.wait_for(Option::is_some) => at.ok().and_then(|at| *at),
            () = self.0.abandoned.cancelled() => return,
        };
        sleep_until(at.unwrap_or_else(Instant::now) + self.0.budget).await;
    }

    fn lock(&self) -> MutexGuard<'_, Option<BodyStream>> {
        self.0.pieces.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Nothing of it has gone anywhere.
    pub fn is_unsent(&self) -> bool {
        self.lock().is_some()
    }

    /// Takes the pieces, once: what has gone can't be sent again.
    pub fn take_body(&self) -> Option<BodyStream> {
        self.lock().take()
    }
}

/// What a node answered.
#[derive(Debug)]
pub enum NodeReply {
    /// Held whole.
    Buffered(Bytes),
    /// On its way.
    Streamed(StreamedReply),
}

/// An answer that is on its way. Its request's id stays taken until this is dropped.
#[derive(Debug)]
pub struct StreamedReply {
    /// Its length, where the node told it.
    pub content_length: Option<u64>,
    /// What it holds.
    pub body: BodyStream,
    /// Set by the core.
    pub(super) _open: Option<OpenId>,
}

impl StreamedReply {
    /// An answer of that length, whose pieces come there.
    pub fn new(length: Option<u64>, pieces: BodyStream) -> Self {
        Self { content_length: length, body: pieces, _open: None }
    }
}

impl NodeReply {
    /// The answer as a whole, where it holds no more than that.
    pub async fn collect(self, most: usize) -> Option<Bytes> {
        match self {
            Self::Buffered(body) => Some(body),
            Self::Streamed(passing) => passing.body.collect(most).await,
        }
    }
}

/// The clients' ids of open requests, and how many answers are on their way.
#[derive(Clone, Debug, Default)]
pub(super) struct Ids {
    taken: Arc<Mutex<HashSet<Box<str>>>>,
    passing: Arc<AtomicUsize>,
}

/// An id that is taken for as long as this is kept.
#[derive(Debug)]
pub(super) struct OpenId {
    ids: Ids,
    id: Box<str>,
    passing: bool,
}

impl Ids {
    fn lock(&self) -> MutexGuard<'_, HashSet<Box<str>>> {
        self.taken.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an id, unless it is taken.
    pub(super) fn open(&self, id: &str) -> Option<OpenId> {
        let id: Box<str> = id.into();
        self.lock().insert(id.clone()).then(|| OpenId { ids: self.clone(), id, passing: false })
    }

    /// Answers that are on their way.
    pub(super) fn passing(&self) -> usize {
        self.passing.load(Ordering::Relaxed)
    }
}

impl OpenId {
    /// Its answer is on its way from now on.
    pub(super) fn pass(mut self) -> Self {
        self.passing = true;
        self.ids.passing.fetch_add(1, Ordering::Relaxed);
        self
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.lock().remove(&self.id);
        self.ids.passing.fetch_sub(usize::from(self.passing), Ordering::Relaxed);
    }
}
