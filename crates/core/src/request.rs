//! A client's request and its final answer.

use std::sync::Arc;

use bytes::Bytes;
use tokio::time::Instant;

use super::body::NodeReply;
use super::upload::Upload;
use heathward_policy::{ClassId, KeyId, Micros, PlanId, ShardId, VolumeId};

/// The part of a request that a node needs in order to execute it, whatever protocol the node speaks.
#[derive(Clone, Debug)]
pub struct NodeRequest {
    /// The request id that the client chose.
    pub client_request_id: Box<str>,
    /// Name of the request class.
    pub class_name: Box<str>,
    /// Whether the request writes; otherwise it reads.
    pub is_write: bool,
    /// The path and query of the object that is read or written.
    pub target: Box<str>,
    /// The key by which nodes recognize a repeated request.
    pub idempotency_key: Option<Box<str>>,
    /// The volume that the request belongs to.
    pub volume: VolumeId,
    /// The object that is read or written.
    pub key: KeyId,
    /// Size of the request, in the units that quotas and node capacities count.
    pub units: u32,
    /// Number of bytes that a read requests, if the client states it; `None` for a write.
    pub read_length: Option<usize>,
    /// The body of a write; empty if there is an [`upload`](Self::upload).
    pub body: Bytes,
    /// The body, if it is streamed: it is too long to be buffered, or there is no memory for that.
    pub upload: Option<Upload>,
}

impl NodeRequest {
    /// Whether `reply` has the length that the client requested, if it stated one.
    pub fn accepts(&self, reply: &NodeReply) -> bool {
        self.read_length.is_none_or(|length| reply.length() == Some(length as u64))
    }
}

/// A request as a front end submits it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Request class.
    pub class: ClassId,
    /// The plan of the volume.
    pub plan: PlanId,
    /// The shard that holds the object; `None` for a new object, which any node may store.
    pub shard: Option<ShardId>,
    /// Number of schedulers through which the volume sends its requests.
    pub schedulers: u32,
    /// Whether the client marks the request as a retry of an earlier one.
    pub is_client_retry: bool,
    /// The instant by which the client must have its answer.
    pub deadline: Instant,
    /// The part of the request that a node needs to execute it.
    pub node_request: Arc<NodeRequest>,
}

/// The one final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// A node served the request.
    Served(NodeReply),
    /// The request was shed: it was not executed, or may safely be executed again, so the client may retry.
    Shed {
        /// Delay before the client should retry, in microseconds; `None` without a recommendation.
        retry_after: Option<Micros>,
    },
    /// Rejected because an open request has the same client request id; otherwise two attempts of it could
    /// run at the same time.
    Duplicate,
    /// The request failed; its effect is unknown if an attempt may have been executed.
    Failed {
        /// Whether an attempt may have been executed.
        possibly_executed: bool,
        /// Whether the deadline of the request has passed.
        deadline_passed: bool,
    },
}
