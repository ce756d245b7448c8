//! An attempt of a request at a node, and the gate that is checked before its first byte is written.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::body::NodeReply;
use super::counters::WrittenAttempts;
use super::endpoint_lease::LeaseExpiry;
use super::memory::MemoryBudget;
use super::request::NodeRequest;
use heathward_policy::{AttemptEnd, NodeId, RequestId};

/// One attempt to have a request executed by a node.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Index of this attempt among those of its request, from 0.
    pub number: u32,
    /// The node.
    pub node: NodeId,
    /// The instant at which the attempt is given up.
    pub deadline: Instant,
    /// When the client stops waiting: a long reply that is being received may take until then.
    pub client_deadline: Instant,
    /// The instant by which the attempt must have a connection; otherwise it ends without having been
    /// executed. For an attempt that is sent in the first half of the request's time budget, this is no
    /// later than the end of that half, so that the client learns of the failure early enough to retry
    /// elsewhere.
    pub connect_deadline: Instant,
    /// The part of the request that the node needs to execute it.
    pub node_request: Arc<NodeRequest>,
    /// Once this is closed, the attempt must not be started.
    pub send_gate: SendGate,
    /// Once this is cancelled, the client has disconnected or has its answer: nothing more is written.
    pub cancel: CancellationToken,
    /// Counts the attempt once its last byte is written.
    pub written_attempts: WrittenAttempts,
    /// Set once its last byte is written.
    pub write_completion: WriteCompletion,
    /// The memory that data of the attempt is reserved from.
    pub memory: MemoryBudget,
}

impl Attempt {
    /// Returns whether the first byte may be written now: the request is not cancelled, the gate is open,
    /// and the deadline has not passed. The deadline does not apply to an attempt with a streamed body, as
    /// the time budget starts with the last byte of the body.
    pub fn may_start(&self) -> bool {
        let in_time = self.node_request.upload.is_some() || Instant::now() < self.deadline;
        in_time && !self.cancel.is_cancelled() && !self.send_gate.is_closed()
    }

    /// Records that the last byte has been written.
    pub fn mark_written(&self) {
        self.written_attempts.increment();
        self.write_completion.set();
    }
}

/// Whether the last byte of an attempt has been written: only from then on can its node execute it. All
/// clones share one state.
#[derive(Clone, Debug, Default)]
pub struct WriteCompletion(Arc<AtomicBool>);

impl WriteCompletion {
    fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Returns whether the last byte has been written.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Closed while no new attempt may be sent to a node. All clones share one gate. It is checked right before
/// the first byte of an attempt, because an attempt may still wait for a connection when its node starts
/// draining or the lease on the endpoint list expires.
#[derive(Clone, Debug)]
pub struct SendGate {
    closed: Arc<AtomicBool>,
    lease_expiry: LeaseExpiry,
}

impl SendGate {
    /// Creates a gate that is open until the lease on the endpoint list expires.
    pub fn new(lease_expiry: LeaseExpiry) -> Self {
        Self { closed: Arc::default(), lease_expiry }
    }

    /// Closes the gate, or opens it again.
    pub fn set_closed(&self, closed: bool) {
        self.closed.store(closed, Ordering::Relaxed);
    }

    /// Returns whether no new attempt may be sent to the node now.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed) || self.lease_expiry.has_expired(Instant::now())
    }
}

/// Creates an open gate whose lease never expires, for tests.
impl Default for SendGate {
    fn default() -> Self {
        Self::new(LeaseExpiry::new(Instant::now()))
    }
}

/// The end of an attempt. Nothing of it is in flight any more, except for a reply that is still being
/// streamed.
#[derive(Debug)]
pub struct EndedAttempt {
    /// The request.
    pub request: RequestId,
    /// Index of the attempt among those of its request, from 0.
    pub number: u32,
    /// The node.
    pub node: NodeId,
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// The node's reply; only used with [`AttemptEnd::Served`].
    pub reply: NodeReply,
}
