//! Connections to storage nodes. An actor for each node receives attempts and owns the idle connections.

mod http;
mod long_reply;
mod pool;
mod tracked_stream;

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

use pool::{IdleEntry, Permit};

pub use http::HttpLink;
pub(crate) use long_reply::{outlasts_attempt, Flag};
pub use pool::ConnectionPool;
pub use tracked_stream::{TrackedStream, WriteProgress};

/// The most attempts that wait for a node's actor. It takes them at once, so this is never reached.
const MAX_QUEUED_ATTEMPTS: usize = 1024;
/// Idle connections are closed this long before the node would close them, so that none breaks while it
/// carries a request.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(2500);

/// The actor of a node ends after this time without an attempt, a reply or a connection: most nodes of a
/// large fleet are seldom used by one scheduler.
const UNUSED_ACTOR_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a connection pauses after an answer before it carries another attempt. A node may send a second
/// answer some milliseconds after the first: on a connection already in use again, it would be taken for the
/// answer to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(5);

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
    /// Creates the response of an attempt without a reply, whose connection is closed or was never
    /// established.
    pub fn closed(end: AttemptEnd) -> Self {
        Self { end, body: NodeReply::Buffered(Bytes::new()), idle_connection: None, forwarding: None }
    }

    /// Creates the response of an attempt whose connection can carry another one.
    pub fn reusable(end: AttemptEnd, body: Bytes, connection: C) -> Self {
        Self { end, body: NodeReply::Buffered(body), idle_connection: Some(connection), forwarding: None }
    }

    /// Returns this response if it can be an answer to the attempt. Otherwise the attempt has failed and may
    /// have been executed, and its connection is closed: a node that reports success before the last byte of
    /// the request was written has not received all of it, and data of another length than a read requests is
    /// not the data that was read.
    fn validated(self, attempt: &Attempt) -> Self {
        let is_valid = attempt.write_completion.is_set() && attempt.node_request.accepts(&self.body);
        if self.end == AttemptEnd::Served && !is_valid {
            return Self::closed(AttemptEnd::Error);
        }
        self
    }
}

/// The limits of connections to nodes.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// The most time to establish a connection.
    connect_timeout: Duration,
    /// How long an idle connection is kept.
    idle_timeout: Duration,
    /// File descriptors of the connections to all nodes together, limited so that some remain for clients.
    max_descriptors: usize,
    /// Idle connections to each node.
    max_idle_per_node: usize,
}

impl PoolLimits {
    /// Returns the limits for a deployment: `max_descriptors` in all, and `max_idle_per_node` idle
    /// connections to each node.
    pub fn new(deployment: &Deployment, max_descriptors: usize, max_idle_per_node: usize) -> Self {
        let idle_timeout = Duration::from_micros(deployment.idle_timeout);
        let idle_timeout = idle_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN.min(idle_timeout / 2));
        Self {
            connect_timeout: Duration::from_micros(deployment.connect_timeout.max(1)),
            idle_timeout,
            max_descriptors,
            max_idle_per_node,
        }
    }
}

/// An idle connection, its entry in the pool, and when it is closed.
struct IdleConnection<C> {
    connection: C,
    pool_entry: IdleEntry,
    idle_since: Instant,
    idle_until: Instant,
}

impl<C> IdleConnection<C> {
    /// Returns the connection for another attempt, unless the pool has evicted it.
    fn take(self) -> Option<(C, Permit)> {
        Some((self.connection, self.pool_entry.take()?))
    }
}

/// Starts the actor of a node and returns its mailbox, which is closed once the node was not used for 0.1 s;
/// attempts that are in it by then are still carried out. The link is a tower
/// service that carries out one attempt on one connection.
pub fn spawn<L, C>(
    link: L,
    pool: ConnectionPool,
    core: mpsc::Sender<CoreMessage>,
) -> mpsc::Sender<Box<Attempt>>
where
    L: tower::Service<LinkRequest<C>, Response = LinkResponse<C>, Error = std::convert::Infallible>
        + Send
        + 'static,
    L::Future: Send + 'static,
    C: Connection,
{
    let (mailbox, attempts) = mpsc::channel(MAX_QUEUED_ATTEMPTS);
    let (idle, in_flight, evicted) = (VecDeque::new(), FuturesUnordered::new(), Arc::default());
    tokio::spawn(Actor { link, pool, core, idle, in_flight, evicted }.run(attempts));
    mailbox
}

/// Work on a connection that has finished.
enum Finished<C> {
    /// An attempt, its result, and the permit of its connection if there was one.
    Attempt(Box<Attempt>, LinkResponse<C>, Option<Permit>),
    /// The forwarding of a streamed reply; the connection, if it can carry another attempt, and its permit.
    Forwarding(Option<C>, Permit),
}

struct Actor<L, C> {
    link: L,
    pool: ConnectionPool,
    core: mpsc::Sender<CoreMessage>,
    /// Idle connections, the one that has been idle for the shortest time last.
    idle: VecDeque<IdleConnection<C>>,
    /// Attempts, and replies that are being forwarded.
    in_flight: FuturesUnordered<BoxFuture<'static, Finished<C>>>,
    /// Notified when the pool evicts an idle connection of this node.
    evicted: Arc<Notify>,
}

impl<L, C> Actor<L, C>
where
    L: tower::Service<LinkRequest<C>, Response = LinkResponse<C>, Error = std::convert::Infallible>,
    L::Future: Send + 'static,
    C: Connection,
{
    async fn run(mut self, mut attempts: mpsc::Receiver<Box<Attempt>>) {
        // The node is in the endpoint list for as long as the mailbox is open.
        let mut is_listed = true;
        while is_listed || !self.in_flight.is_empty() {
            let expiry = self.idle.front().map(|idle| idle.idle_until);
            let is_unused = self.idle.is_empty() && self.in_flight.is_empty();
            let unused_deadline = Instant::now() + UNUSED_ACTOR_TIMEOUT;
            tokio::select! {
                biased;
                Some(finished) = self.in_flight.next(), if !self.in_flight.is_empty() => {
                    self.finish(finished, is_listed).await;
                }
                attempt = attempts.recv(), if is_listed => match attempt {
                    Some(attempt) => self.begin(attempt),
                    None => {
                        is_listed = false;
                        self.idle.clear();
                    }
                },
                () = tokio::time::sleep_until(expiry.unwrap_or_else(Instant::now)), if expiry.is_some() => {
                    self.idle.pop_front();
                }
                () = self.evicted.notified() => self.idle.retain(|idle| idle.pool_entry.is_valid()),
                () = remove_closed(&mut self.idle) => {}
                () = tokio::time::sleep_until(unused_deadline), if is_unused => attempts.close(),
            }
        }
    }

    fn begin(&mut self, attempt: Box<Attempt>) {
        let (idle_connection, permit) = match self.take_reusable(Instant::now()) {
            Some((connection, permit)) => (Some(connection), Some(permit)),
            None => (None, self.pool.acquire(C::SOCKETS, &attempt.memory)),
        };
        if permit.is_none() {
            // There is no free descriptor or memory: the attempt was never sent, which says nothing about the
            // node.
            let response = LinkResponse::closed(AttemptEnd::NotSent);
            return self.in_flight.push(Box::pin(async move { Finished::Attempt(attempt, response, None) }));
        }
        let is_new = idle_connection.is_none();
        let calling = self.link.call(LinkRequest {
            attempt: attempt.as_ref().clone(),
            idle_connection,
            dial_deadline: Instant::now() + self.pool.limits().connect_timeout,
        });
        self.in_flight.push(Box::pin(async move {
            if is_new {
                // Lets the actors of other nodes close the connections that were evicted for this one.
                tokio::task::yield_now().await;
            }
            let Ok(response) = calling.await;
            Finished::Attempt(attempt, response, permit)
        }));
    }

    /// Takes the most recently used of the idle connections that have paused for [`REUSE_DELAY`], so that the
    /// others reach their idle timeout.
    fn take_reusable(&mut self, now: Instant) -> Option<(C, Permit)> {
        while let Some(index) = self.idle.iter().rposition(|idle| idle.idle_since + REUSE_DELAY <= now) {
            if let Some(reusable) = self.idle.remove(index).and_then(IdleConnection::take) {
                return Some(reusable);
            }
        }
        None
    }

    async fn finish(&mut self, finished: Finished<C>, is_listed: bool) {
        let (attempt, response, permit) = match finished {
            Finished::Forwarding(connection, permit) => return self.keep_idle(connection, permit, is_listed),
            Finished::Attempt(attempt, response, permit) => {
                let response = response.validated(&attempt);
                (attempt, response, permit)
            }
        };
        if let Some(permit) = permit {
            match response.forwarding {
                Some(forwarding) => {
                    self.in_flight
                        .push(Box::pin(async move { Finished::Forwarding(forwarding.await, permit) }));
                }
                None => self.keep_idle(response.idle_connection, permit, is_listed),
            }
        }
        report_attempt_end(&self.core, &attempt, response.end, response.body).await;
    }

    /// Keeps a connection for another attempt, if the node is still in the endpoint list. Beyond the limit,
    /// the connection that has been idle the longest is closed.
    fn keep_idle(&mut self, connection: Option<C>, permit: Permit, is_listed: bool) {
        if let (Some(connection), true) = (connection, is_listed) {
            let PoolLimits { idle_timeout, max_idle_per_node, .. } = self.pool.limits();
            let pool_entry = self.pool.add_idle(permit, &self.evicted);
            let idle_since = Instant::now();
            self.idle.push_back(IdleConnection {
                connection,
                pool_entry,
                idle_since,
                idle_until: idle_since + idle_timeout,
            });
            if self.idle.len() > max_idle_per_node {
                self.idle.pop_front();
            }
        }
    }
}

/// Waits until at least one idle connection is closed by the node, and removes all such connections.
async fn remove_closed<C: Connection>(idle: &mut VecDeque<IdleConnection<C>>) {
    poll_fn(|cx| {
        let count_before = idle.len();
        idle.retain_mut(|idle| idle.connection.poll_closed(cx).is_pending());
        if idle.len() < count_before {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
}
