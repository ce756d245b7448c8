//! Storage nodes as discovery lists them.

use std::net::SocketAddr;

use heathward_policy::{EndpointUpdateKind, Micros, NodeState, ShardId};

/// A storage node as discovery lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Id of the node, a text that is the same for all schedulers.
    pub id: Box<str>,
    /// The address at which this scheduler reaches it.
    pub address: SocketAddr,
    /// Name of the zone that it is in.
    pub zone: Box<str>,
    /// The shard that it holds.
    pub shard: ShardId,
    /// Its state according to discovery.
    pub state: NodeState,
    /// When it last started, in microseconds of Unix time; `None` if that was long ago.
    pub started_at: Option<Micros>,
}

/// An update of the endpoint list, as discovery delivers it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointUpdate {
    /// Revision of the list; a later list has a higher one.
    pub revision: u64,
    /// Whether `endpoints` is a complete list or only changes.
    pub kind: EndpointUpdateKind,
    /// The nodes that the update names.
    pub endpoints: Vec<Endpoint>,
}
