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

/// An answer is sent at least this long before the client gives up: on a loaded core, sending it back took up
/// to 2 ms.
const RESPONSE_MARGIN: Duration = Duration::from_millis(3);
/// The longest time budget of a request, in milliseconds; a longer one is reduced to this.
const MAX_TIME_BUDGET_MS: u64 = 3_600_000;

/// A request that is not valid: the name of the header or of the part that is at fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRequest(pub &'static str);

/// The body of a request that is decoded.
pub enum RequestData {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is still being received, and its length in bytes if that was announced.
    Streamed(Option<u64>, BodyStream),
}

/// Decodes a request whose head, and whose body if that is buffered, has arrived by `received_at`.
///
/// # Errors
/// The header or the part of the request line that is missing, repeated or not valid.
pub fn decode(
    deployment: &Deployment,
    head: &Parts,
    body: RequestData,
    received_at: Instant,
) -> Result<ClientRequest, InvalidRequest> {
    let header = |name: &'static str| {
        let mut values = head.headers.get_all(name).iter();
        let value = values.next().map(|text| text.to_str().map_err(|_| InvalidRequest(name)));
        // A node might use the other of two values.
        values.next().map_or(value.transpose(), |_| Err(InvalidRequest(name)))
    };
    let required_header =
        |name: &'static str| header(name)?.filter(|value| !value.is_empty()).ok_or(InvalidRequest(name));
    let class_name = required_header(headers::CLASS)?;
    let class = deployment
        .class_names
        .iter()
        .position(|name| name == class_name)
        .ok_or(InvalidRequest(headers::CLASS))?;
    let plan = required_header(headers::PLAN)?;
    let plan =
        deployment.plan_names.iter().position(|name| name == plan).ok_or(InvalidRequest(headers::PLAN))?;
    let is_write = deployment.class_writes[class];
    if head.method != if is_write { Method::PUT } else { Method::GET } {
        return Err(InvalidRequest("method"));
    }
    let has_body = !matches!(&body, RequestData::Buffered(body) if body.is_empty());
    if !is_write && has_body {
        return Err(InvalidRequest("body"));
    }
    let settings = &deployment.settings;
    let idempotency_key = header(headers::IDEMPOTENCY_KEY)?;
    if idempotency_key.is_none() && settings.classes[class].idempotency == Idempotency::WithKey {
        return Err(InvalidRequest(headers::IDEMPOTENCY_KEY));
    }
    let path: Vec<&str> = head.uri.path().split('/').collect();
    let ["", path_class, volume, key] = path[..] else { return Err(InvalidRequest("path")) };
    if path_class != class_name {
        return Err(InvalidRequest("path"));
    }
    let (volume, key) = (parse_hex_id(volume)?, parse_hex_id(key)?);
    let budget = parse_time_budget(required_header(headers::TIME_BUDGET_MS)?)?;
    let is_in_range = |(units, _, hosts): &(u32, Option<ShardId>, u32)| {
        (1..=settings.max_units).contains(units) && (1..=settings.schedulers).contains(hosts)
    };
    let (units, shard, hosts) = parse_io_header(required_header(headers::IO)?)
        .filter(is_in_range)
        .ok_or(InvalidRequest(headers::IO))?;
    let request_id = required_header(headers::REQUEST_ID)?;
    parse_hex_id(request_id).map_err(|_| InvalidRequest(headers::REQUEST_ID))?;
    let (body, upload) = match body {
        RequestData::Buffered(body) => (body, None),
        RequestData::Streamed(length, chunks) => (Bytes::new(), Some(Upload::new(length, budget, chunks))),
    };
    let is_streamed = upload.is_some();
    let node_request = NodeRequest {
        client_request_id: request_id.into(),
        class_name: class_name.into(),
        is_write,
        target: head.uri.path_and_query().ok_or(InvalidRequest("path"))?.as_str().into(),
        idempotency_key: idempotency_key.map(Into::into),
        volume: VolumeId(volume),
        key: KeyId(key),
        units,
        read_length: None,
        body,
        upload,
    };
    Ok(ClientRequest {
        class: ClassId(class as u16),
        plan: PlanId(plan as u16),
        shard,
        schedulers: hosts,
        is_client_retry: header(headers::CLIENT_RETRY)?.is_some_and(|value| value == "1"),
        deadline: if is_streamed {
            received_at + Duration::from_millis(MAX_TIME_BUDGET_MS)
        } else {
            received_at + budget
        },
        node_request: Arc::new(node_request),
    })
}

/// Parses the time for which a client waits, and returns what is left of it for the answer.
fn parse_time_budget(value: &str) -> Result<Duration, InvalidRequest> {
    let is_decimal = value.bytes().all(|byte| byte.is_ascii_digit());
    let budget_ms: Option<u64> = value.parse().ok().filter(|ms| is_decimal && *ms > 0);
    let budget_ms = budget_ms.ok_or(InvalidRequest(headers::TIME_BUDGET_MS))?;
    Ok(Duration::from_millis(budget_ms.min(MAX_TIME_BUDGET_MS)).saturating_sub(RESPONSE_MARGIN))
}

/// Parses the id of a volume, an object or a request: 16 hexadecimal digits.
fn parse_hex_id(digits: &str) -> Result<u64, InvalidRequest> {
    let is_valid = digits.len() == 16 && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_valid {
        return Err(InvalidRequest("path"));
    }
    u64::from_str_radix(digits, 16).map_err(|_| InvalidRequest("path"))
}

/// Parses `units=2,shard=5,hosts=3` into units, shard and number of schedulers; a negative shard stands for
/// an object that has no shard yet.
fn parse_io_header(value: &str) -> Option<(u32, Option<ShardId>, u32)> {
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
        negative if negative < 0 => None,
        number => Some(ShardId(u32::try_from(number).ok()?)),
    };
    Some((units?, shard, hosts?))
}

/// Formats a `Retry-After` value: seconds with three decimals, rounded up to milliseconds.
pub fn format_retry_after(span: Micros) -> String {
    let ms = span.div_ceil(1000);
    format!("{}.{:03}", ms / 1000, ms % 1000)
}
