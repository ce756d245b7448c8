//! The JSON form of the endpoint list, in discovery's responses and in the state that a handover passes on.
//! This module alone maps the names in the JSON to the names in the code.

use miniserde::{json, Deserialize, Serialize};
use thiserror::Error;

use heathward_core::{Endpoint, EndpointUpdate};
use heathward_policy::{EndpointUpdateKind, Micros, NodeState, ShardId};

/// Why an endpoint list cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidEndpointList {
    /// It is not JSON, or a field is missing or of another type.
    #[error("not a list")]
    NotAList,
    /// An endpoint's address is not an IP address with a port.
    #[error("{endpoint}: host_port: {value:?}")]
    InvalidAddress {
        /// The endpoint's id.
        endpoint: String,
        /// The invalid value.
        value: String,
    },
    /// An endpoint's phase is none of the known ones.
    #[error("{endpoint}: phase: {value:?}")]
    UnknownPhase {
        /// The endpoint's id.
        endpoint: String,
        /// The invalid value.
        value: String,
    },
}

/// Decodes a complete list or a change to it from JSON.
///
/// # Errors
/// [`InvalidEndpointList`] if the text is not a list, or if one of its endpoints is invalid; then no endpoint
/// of it is used.
pub fn parse_update(text: &str) -> Result<EndpointUpdate, InvalidEndpointList> {
    let list: WireList = json::from_str(text).map_err(|_| InvalidEndpointList::NotAList)?;
    list.try_into()
}

/// A list on the wire.
#[derive(Deserialize, Serialize)]
pub(crate) struct WireList {
    #[serde(rename = "revision")]
    revision: u64,
    #[serde(rename = "complete")]
    is_snapshot: bool,
    #[serde(rename = "members")]
    endpoints: Vec<WireEndpoint>,
}

/// An endpoint on the wire.
#[derive(Deserialize, Serialize)]
struct WireEndpoint {
    #[serde(rename = "id")]
    id: String,
    #[serde(rename = "host_port")]
    address: String,
    #[serde(rename = "locality")]
    zone: Option<String>,
    #[serde(rename = "cell")]
    shard: u32,
    #[serde(rename = "phase")]
    phase: String,
    /// The start time of the node, milliseconds since 1970, with decimals. Absent or not positive if it is
    /// unknown.
    #[serde(rename = "up_since_ms")]
    started_at_ms: Option<f64>,
}

impl TryFrom<WireList> for EndpointUpdate {
    type Error = InvalidEndpointList;

    fn try_from(list: WireList) -> Result<Self, Self::Error> {
        let endpoints = list.endpoints.into_iter().map(Endpoint::try_from).collect::<Result<_, _>>()?;
        let kind = match list.is_snapshot {
            true => EndpointUpdateKind::Snapshot,
            false => EndpointUpdateKind::Changes,
        };
        Ok(Self { revision: list.revision, kind, endpoints })
    }
}

impl From<EndpointUpdate> for WireList {
    fn from(update: EndpointUpdate) -> Self {
        Self {
            revision: update.revision,
            // A cached list is a complete list too.
            is_snapshot: update.kind != EndpointUpdateKind::Changes,
            endpoints: update.endpoints.into_iter().map(WireEndpoint::from).collect(),
        }
    }
}

impl TryFrom<WireEndpoint> for Endpoint {
    type Error = InvalidEndpointList;

    fn try_from(wire: WireEndpoint) -> Result<Self, Self::Error> {
        let WireEndpoint { id, address, zone, shard, phase, started_at_ms } = wire;
        let Ok(socket_address) = address.parse() else {
            return Err(InvalidEndpointList::InvalidAddress { endpoint: id, value: address });
        };
        let Some(state) = state_of_phase(&phase) else {
            return Err(InvalidEndpointList::UnknownPhase { endpoint: id, value: phase });
        };
        Ok(Self {
            id: id.into(),
            address: socket_address,
            zone: zone.unwrap_or_default().into(),
            shard: ShardId(shard),
            state,
            started_at: started_at_ms.filter(|ms| *ms > 0.0).map(micros_of_millis),
        })
    }
}

impl From<Endpoint> for WireEndpoint {
    fn from(endpoint: Endpoint) -> Self {
        Self {
            id: endpoint.id.into(),
            address: endpoint.address.to_string(),
            zone: Some(endpoint.zone.into()),
            shard: endpoint.shard.0,
            phase: phase_of_state(endpoint.state).to_owned(),
            started_at_ms: endpoint.started_at.map(millis_of_micros),
        }
    }
}

fn state_of_phase(phase: &str) -> Option<NodeState> {
    match phase {
        "in_service" => Some(NodeState::Ready),
        "terminating" => Some(NodeState::Draining),
        "terminated" => Some(NodeState::Removed),
        _ => None,
    }
}

fn phase_of_state(state: NodeState) -> &'static str {
    match state {
        NodeState::Ready => "in_service",
        NodeState::Draining => "terminating",
        NodeState::Removed => "terminated",
    }
}

fn micros_of_millis(millis: f64) -> Micros {
    (millis * 1000.0) as Micros
}

fn millis_of_micros(micros: Micros) -> f64 {
    micros as f64 / 1000.0
}
