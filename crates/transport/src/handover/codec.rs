//! Encodes and decodes the state that a handover passes on, as one line of JSON. This module maps the names
//! in the JSON to the names in the code.

use miniserde::{json, Deserialize, Serialize};
use thiserror::Error;

use crate::discovery::{InvalidEndpointList, WireList};
use heathward_core::{ClientRequestId, HandoverState, SlowStartNode};

/// Why a line cannot be decoded as a handover state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidHandoverState {
    /// It is not UTF-8.
    #[error("not text")]
    NotUtf8,
    /// It is not JSON, or a field is missing or of another type.
    #[error("not a state")]
    NotAState,
    /// The endpoint list in it cannot be used.
    #[error(transparent)]
    EndpointList(#[from] InvalidEndpointList),
}

#[derive(Deserialize, Serialize)]
struct WireState {
    #[serde(rename = "list")]
    endpoint_list: WireList,
    #[serde(rename = "suspended")]
    suspended: Vec<String>,
    #[serde(rename = "cold")]
    slow_start: Vec<WireSlowStart>,
    #[serde(rename = "paused")]
    paused: bool,
    /// Left out by versions that do not pass them on.
    #[serde(rename = "requests")]
    client_ids: Option<Vec<String>>,
}

/// A node in slow start.
#[derive(Deserialize, Serialize)]
struct WireSlowStart {
    #[serde(rename = "id")]
    node: String,
    /// The start of its slow start, microseconds since 1970.
    #[serde(rename = "since_us")]
    since: u64,
}

/// Encodes the state as a line without its end.
pub fn encode(state: HandoverState) -> String {
    let HandoverState { endpoint_list, suspended, slow_start, paused, client_ids } = state;
    let slow_start =
        slow_start.into_iter().map(|node| WireSlowStart { node: node.id.into(), since: node.since });
    json::to_string(&WireState {
        endpoint_list: endpoint_list.into(),
        suspended: suspended.into_iter().map(Into::into).collect(),
        slow_start: slow_start.collect(),
        paused,
        client_ids: client_ids.map(|ids| ids.into_iter().map(encode_id).collect()),
    })
}

/// Decodes a line without its end.
///
/// # Errors
/// [`InvalidHandoverState`] if the line is not a state, or if an endpoint in it is invalid.
pub fn decode(line: &[u8]) -> Result<HandoverState, InvalidHandoverState> {
    let text = std::str::from_utf8(line).map_err(|_| InvalidHandoverState::NotUtf8)?;
    let WireState { endpoint_list, suspended, slow_start, paused, client_ids } =
        json::from_str(text).map_err(|_| InvalidHandoverState::NotAState)?;
    Ok(HandoverState {
        endpoint_list: endpoint_list.try_into()?,
        suspended: suspended.into_iter().map(Into::into).collect(),
        slow_start: slow_start
            .into_iter()
            .map(|node| SlowStartNode { id: node.node.into(), since: node.since })
            .collect(),
        paused,
        client_ids: client_ids.map(|ids| ids.iter().map(|id| ClientRequestId::new(id)).collect()),
    })
}

/// Encodes a client's id of a request.
pub(super) fn encode_id(id: ClientRequestId) -> String {
    format!("{:016x}", id.0)
}
