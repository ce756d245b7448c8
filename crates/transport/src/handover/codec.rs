//! The state as one line of JSON.

use miniserde::{json, Deserialize, Serialize};

use crate::discovery::List;
use heathward_core::{HandoverState, SlowStartNode};

#[derive(Deserialize, Serialize)]
struct Line {
    #[serde(rename = "list")]
    list: List,
    #[serde(rename = "suspended")]
    suspended: Vec<String>,
    #[serde(rename = "cold")]
    cold: Vec<Cold>,
    #[serde(rename = "paused")]
    paused: bool,
}

#[derive(Deserialize, Serialize)]
struct Cold {
    #[serde(rename = "id")]
    id: String,
    #[serde(rename = "since_us")]
    since_us: u64,
}

/// Encodes the state.
pub fn encode(state: HandoverState) -> String {
    let HandoverState { endpoint_list: list, suspended, slow_start: cold, paused } = state;
    json::to_string(&Line {
        list: list.into(),
        suspended: suspended.into_iter().map(Into::into).collect(),
        cold: cold
            .into_iter()
            .map(|SlowStartNode { id, since }| Cold { id: id.into(), since_us: since })
            .collect(),
        paused,
    })
}

/// Decodes the state; says what is wrong with it otherwise.
pub fn decode(line: &[u8]) -> Result<HandoverState, String> {
    let text = std::str::from_utf8(line).map_err(|_| "not text".to_owned())?;
    let Line { list, suspended, cold, paused } =
        json::from_str(text).map_err(|_| "not a state".to_owned())?;
    let list = list.update()?;
    let suspended = suspended.into_iter().map(Into::into).collect();
    let cold = cold
        .into_iter()
        .map(|Cold { id, since_us }| SlowStartNode { id: id.into(), since: since_us })
        .collect();
    Ok(HandoverState { endpoint_list: list, suspended, slow_start: cold, paused })
}
