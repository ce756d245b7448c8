//! Connections to storage nodes. An actor for each node receives attempts and owns the idle connections.

mod http;
mod pool;
mod wire;

use std::collections::VecDeque;
use std::future::poll_fn;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::sync::{mpsc, Notify};
use tokio::time::Instant;

use heathward_core::{report_attempt_end, Attempt, CoreMessage, NodeReply};
use heathward_policy::settings::Deployment;
use heathward_policy::AttemptEnd;

use pool::{Parked, Permit};

pub use http::HttpLink;
pub use pool::ConnectionPool;
pub use wire::{TrackedStream, WriteProgress};

/// Attempts that wait for a node's actor at most; it takes them at once, so that this is never reached.
const MAILBOX: usize = 1024;
/// Idle connections are dropped this long before the far machine would, so that none breaks under a request.
const IDLE_LEAD: Duration = Duration::from_millis(2500);

/// "A second answer may come some milliseconds later" (STANDING.md). So long a connection rests after an
/// answer before it carries another attempt: in use again by then, it would have that answer taken for the
/// next one.
const SECOND_ANSWER: Duration = Duration::from_millis(5);

/// A connection to a node that can carry another attempt.
pub trait Connection: Send + 'static {
    /// Number of file descriptors that one connection holds.
    const SOCKETS: usize;

    /// Returns ready once the node has closed the connection, or it can't carry another attempt.
    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()>;
}

/// A request to a link: one attempt, on an idle connection or a new one.
pub struct LinkRequest<C> {
    /// The attempt.
    pub attempt: Attempt,
    /// The idle connection to use; `None` to open a new one.
    pub idle_connection: Option<C>,
    /// A new connection must be established by then.
    pub dial_deadline: Instant,
}

/// The result of an attempt. A connection that is not returned in it is closed already, unless
/// [`Self::forwarding`] holds it.
pub struct LinkResponse<C> {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// The reply of the node, with [`AttemptEnd::Served`].
    pub body: NodeReply,
    /// The connection, if it can carry another attempt.
    pub idle_connection: Option<C>,
    /// Forwards the rest of a streamed reply, and then returns the connection if it can carry another
    /// attempt.
    pub forwarding: Option<BoxFuture<'static, Option<C>>>,
}

impl<C> LinkResponse<C> {
    /// An attempt without a reply, whose connection is closed or was never established.
    pub fn closed(end: AttemptEnd) -> Self {
        Self { end, body: NodeReply::Buffered(Bytes::new()), idle_connection: None, forwarding: None }
    }

    /// An attempt whose connection can carry another one.
    pub fn reusable(end: AttemptEnd, body: Bytes, connection: C) -> Self {
        Self { end, body: NodeReply::Buffered(body), idle_connection: Some(connection), forwarding: None }
    }
}

/// The limits of connections to nodes.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// A connection that takes longer to make never will be.
    connect: Duration,
    /// Idle connections are kept that long.
    idle: Duration,
    /// Descriptors of connections to all nodes together, so that clients always find descriptors.
    open: usize,
    /// Idle ones for each node.
    most_idle: usize,
}

impl PoolLimits {
    /// Those of a deployment: `open` descriptors in all, `most_idle` idle connections for each node.
    pub fn new(deployment: &Deployment, open: usize, most_idle: usize) -> Self {
        let idle = Duration::from_micros(deployment.idle_timeout);
        let idle = idle.saturating_sub(IDLE_LEAD.min(idle / 2));
        Self { connect: Duration::from_micros(deployment.connect_timeout.max(1)), idle, open, most_idle }
    }
}

/// An idle connection, its place in the pool, and when it is dropped.
struct Idle<C> {
    link: C,
    place: Parked,
    /// Since when.
    since: Instant,
    until: Instant,
}

impl<C> Idle<C> {
    /// It is used again, if it has not had to make way.
    fn take(self) -> Option<(C, Permit)> {
        Some((self.link, self.place.take()?))
    }
}

/// Starts the actor of a node and returns its mailbox. The link is a tower service that carries out one
/// attempt on one connection.
pub fn spawn<L, C>(link: L, pool: ConnectionPool, core: mpsc::Sender<CoreMessage>) -> mpsc::Sender<Attempt>
where
    L: tower::Service<LinkRequest<C>, Response = LinkResponse<C>, Error = std::convert::Infallible>
        + Send
        + 'static,
    L::Future: Send + 'static,
    C: Connection,
{
    let (mailbox, attempts) = mpsc::channel(MAILBOX);
    let (idle, running, evicted) = (VecDeque::new(), FuturesUnordered::new(), Arc::default());
    tokio::spawn(Actor { link, pool, core, idle, running, evicted }.run(attempts));
    mailbox
}

/// Work on a connection that has finished.
enum Finished<C> {
    /// An attempt, its result, and the permit of its connection if there was one.
    Attempt(Box<Attempt>, LinkResponse<C>, Option<Permit>),
    /// The rest of an answer.
    Rest(Option<C>, Permit),
}

struct Actor<L, C> {
    link: L,
    pool: ConnectionPool,
    core: mpsc::Sender<CoreMessage>,
    /// The newest last.
    idle: VecDeque<Idle<C>>,
    running: FuturesUnordered<BoxFuture<'static, Finished<C>>>,
    /// Told when an idle connection has to make way.
    evicted: Arc<Notify>,
}

impl<L, C> Actor<L, C>
where
    L: tower::Service<LinkRequest<C>, Response = LinkResponse<C>, Error = std::convert::Infallible>,
    L::Future: Send + 'static,
    C: Connection,
{
    async fn run(mut self, mut attempts: mpsc::Receiver<Attempt>) {
        let mut listed = true;
        while listed || !self.running.is_empty() {
            let oldest = self.idle.front().map(|idle| idle.until);
            tokio::select! {
                biased;
                Some(finished) = self.running.next(), if !self.running.is_empty() => {
                    self.finish(finished, listed).await;
                }
                attempt = attempts.recv(), if listed => match attempt {
                    Some(attempt) => self.begin(attempt),
                    None => {
                        listed = false;
                        self.idle.clear();
                    }
                },
                () = tokio::time::sleep_until(oldest.unwrap_or_else(Instant::now)), if oldest.is_some() => {
                    self.idle.pop_front();
                }
                () = self.evicted.notified() => self.idle.retain(|idle| idle.place.stands()),
                () = drop_closed(&mut self.idle) => {}
            }
        }
    }

    fn begin(&mut self, attempt: Attempt) {
        let (idle, permit) = match self.rested(Instant::now()) {
            Some((link, permit)) => (Some(link), Some(permit)),
            None => (None, self.pool.permit(C::SOCKETS)),
        };
        if permit.is_none() {
            // No descriptor for it: it never ran, and that says nothing about the node.
            let done = LinkResponse::closed(AttemptEnd::NotSent);
            let attempt = Box::new(attempt);
            return self.running.push(Box::pin(async move { Finished::Attempt(attempt, done, None) }));
        }
        let fresh = idle.is_none();
        let trying = self.link.call(LinkRequest {
            attempt: attempt.clone(),
            idle_connection: idle,
            dial_deadline: Instant::now() + self.pool.limits().connect,
        });
        self.running.push(Box::pin(async move {
            if fresh {
                // What has to make way for it elsewhere is closed first.
                tokio::task::yield_now().await;
            }
            let Ok(done) = trying.await;
            Finished::Attempt(Box::new(attempt), done, permit)
        }));
    }

    /// Of the idle connections that have rested the one that was used last, so that the others grow old.
    fn rested(&mut self, now: Instant) -> Option<(C, Permit)> {
        while let Some(at) = self.idle.iter().rposition(|idle| idle.since + SECOND_ANSWER <= now) {
            if let Some(standing) = self.idle.remove(at).and_then(Idle::take) {
                return Some(standing);
            }
        }
        None
    }

    async fn finish(&mut self, finished: Finished<C>, listed: bool) {
        let (attempt, done, permit) = match finished {
            Finished::Rest(link, permit) => return self.keep(link, permit, listed),
            Finished::Attempt(attempt, done, permit) => (attempt, done, permit),
        };
        if let Some(permit) = permit {
            match done.forwarding {
                Some(rest) => self.running.push(Box::pin(async move { Finished::Rest(rest.await, permit) })),
                None => self.keep(done.idle_connection, permit, listed),
            }
        }
        report_attempt_end(&self.core, &attempt, done.end, done.body).await;
    }

    /// Keeps a connection for another attempt.
    fn keep(&mut self, link: Option<C>, permit: Permit, listed: bool) {
        if let (Some(link), true) = (link, listed) {
            let PoolLimits { idle, most_idle, .. } = self.pool.limits();
            let place = self.pool.park(permit, &self.evicted);
            let since = Instant::now();
            self.idle.push_back(Idle { link, place, since, until: since + idle });
            if self.idle.len() > most_idle {
                self.idle.pop_front();
            }
        }
    }
}

/// Drops an idle connection once the far side has closed it, and then returns.
async fn drop_closed<C: Connection>(idle: &mut VecDeque<Idle<C>>) {
    poll_fn(|cx| {
        let before = idle.len();
        idle.retain_mut(|idle| idle.link.poll_closed(cx).is_pending());
        if idle.len() < before {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
}
