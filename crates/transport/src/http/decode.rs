//! Decodes the head and the body of an HTTP request into a request to the core.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::Method;
use tokio::time::Instant;

use super::headers;
use heathward_core::{BodyStream, ClientRequest, NodeRequest, Upload};
use heathward_policy::settings::Deployment;
use heathward_policy::{ClassId, Idempotency, KeyId, Micros, PlanId, ShardId, VolumeId};

/// An answer leaves this long before the client gives up: on a loaded core the way back took up to 2 ms.
const MARGIN: Duration = Duration::from_millis(3);
/// No client waits longer; what claims to is cut to it.
const LONGEST_MS: u64 = 3_600_000;

/// A request that is not valid: the name of the header or of the part that is at fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRequest(pub &'static str);

/// Decodes a request whose last byte arrived at `received_at`. If the body is too long to be buffered, `body`
/// is its first part, `remaining_body` the length of the complete body, if that is announced, and the rest.
///
/// # Errors
/// The header or the part of the request line that is missing, repeated or not valid.
pub fn decode(
    deployment: &Deployment,
    head: &Parts,
    body: Bytes,
    rest: Option<(Option<u64>, BodyStream)>,
    arrived: Instant,
) -> Result<ClientRequest, InvalidRequest> {
    let text = |name: &'static str| {
        let mut values = head.headers.get_all(name).iter();
        let value = values.next().map(|v| v.to_str().map_err(|_| InvalidRequest(name)));
        // A node might use the other of two values.
        values.next().map_or(value.transpose(), |_| Err(InvalidRequest(name)))
    };
    let need = |name: &'static str| text(name)?.filter(|v| !v.is_empty()).ok_or(InvalidRequest(name));
    let class_name = need(headers::CLASS)?;
    let class =
        deployment.class_names.iter().position(|c| c == class_name).ok_or(InvalidRequest(headers::CLASS))?;
    let plan = need(headers::PLAN)?;
    let plan = deployment.plan_names.iter().position(|p| p == plan).ok_or(InvalidRequest(headers::PLAN))?;
    let write = deployment.class_writes[class];
    if head.method != if write { Method::PUT } else { Method::GET } {
        return Err(InvalidRequest("method"));
    }
    if !write && !body.is_empty() {
        return Err(InvalidRequest("body"));
    }
    let settings = &deployment.settings;
    let once = text(headers::ONCE)?;
    if once.is_none() && settings.classes[class].idempotency == Idempotency::WithKey {
        return Err(InvalidRequest(headers::ONCE));
    }
    let path: Vec<&str> = head.uri.path().split('/').collect();
    let ["", first, volume, key] = path[..] else { return Err(InvalidRequest("path")) };
    if first != class_name {
        return Err(InvalidRequest("path"));
    }
    let (volume, key) = (hex(volume)?, hex(key)?);
    let budget = need(headers::BUDGET)?;
    let digits = budget.bytes().all(|b| b.is_ascii_digit());
    let budget: u64 =
        budget.parse().ok().filter(|ms| digits && *ms > 0).ok_or(InvalidRequest(headers::BUDGET))?;
    let sound = |(units, _, hosts): &(u32, Option<ShardId>, u32)| {
        (1..=settings.max_units).contains(units) && (1..=settings.schedulers).contains(hosts)
    };
    let (units, shard, hosts) = io(need(headers::IO)?).filter(sound).ok_or(InvalidRequest(headers::IO))?;
    let call = need(headers::CALL)?;
    hex(call).map_err(|_| InvalidRequest(headers::CALL))?;
    let budget = Duration::from_millis(budget.min(LONGEST_MS)).saturating_sub(MARGIN);
    let rest = rest.map(|(length, pieces)| Upload::new(length, budget, pieces));
    let passes = rest.is_some();
    let work = NodeRequest {
        client_request_id: call.into(),
        class_name: class_name.into(),
        is_write: write,
        target: head.uri.path_and_query().ok_or(InvalidRequest("path"))?.as_str().into(),
        idempotency_key: once.map(Into::into),
        volume: VolumeId(volume),
        key: KeyId(key),
        units,
        read_length: None,
        body,
        upload: rest,
    };
    Ok(ClientRequest {
        class: ClassId(class as u16),
        plan: PlanId(plan as u16),
        shard,
        schedulers: hosts,
        is_client_retry: text(headers::AGAIN)?.is_some_and(|v| v == "1"),
        deadline: if passes { arrived + Duration::from_millis(LONGEST_MS) } else { arrived + budget },
        node_request: Arc::new(work),
    })
}

/// The 16 hex digits of a volume or a piece of data.
fn hex(digits: &str) -> Result<u64, InvalidRequest> {
    let sound = digits.len() == 16 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if !sound {
        return Err(InvalidRequest("path"));
    }
    u64::from_str_radix(digits, 16).map_err(|_| InvalidRequest("path"))
}

/// `units=2,shard=5,hosts=3`; a negative shard stands for none yet.
fn io(value: &str) -> Option<(u32, Option<ShardId>, u32)> {
    let (mut units, mut shard, mut hosts) = (None, None, None);
    for pair in value.split(',') {
        let (name, value) = pair.trim().split_once('=')?;
        match name {
            "units" => units = Some(value.parse().ok()?),
            "shard" => shard = Some(value.parse::<i64>().ok()?),
            "hosts" => hosts = Some(value.parse().ok()?),
            _ => {}
        }
    }
    let shard = match shard? {
        none if none < 0 => None,
        some => Some(ShardId(u32::try_from(some).ok()?)),
    };
    Some((units?, shard, hosts?))
}

/// Formats a `Retry-After` value: seconds with three decimals, rounded up to milliseconds.
pub fn format_retry_after(span: Micros) -> String {
    let ms = span.div_ceil(1000);
    format!("{}.{:03}", ms / 1000, ms % 1000)
}
