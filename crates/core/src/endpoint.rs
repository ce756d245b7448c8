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
    /// Name of its zone.
    pub zone: Box<str>,
    /// The shard that it holds.
    pub shard: ShardId,
    /// Its state.
    pub state: NodeState,
    /// When it last started, in microseconds of Unix time; `None` if that was long ago.
    pub started_at: Option<Micros>,
}

/// An update of the endpoint list, as discovery delivers it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointUpdate {
    /// Revision of the list; a later list has a higher one.
    pub revision: u64,
    /// Whether `endpoints` are a complete snapshot or the changes.
    pub kind: EndpointUpdateKind,
    /// The nodes that the update names.
    pub endpoints: Vec<Endpoint>,
}
