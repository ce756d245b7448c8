//! Draws from a seed what happens in one play.

use fastrand::Rng;

use super::object::{Object, ReplyFraming};

/// The limits of the pages on memory, in MB.
const MEMORY_MB: std::ops::RangeInclusive<usize> = 32..=192;
/// The limits of the pages on descriptors.
const SOCKETS: std::ops::RangeInclusive<usize> = 256..=1024;
/// Descriptors beside the least memory: the upper half of the range.
const MANY_SOCKETS: std::ops::RangeInclusive<usize> = 640..=1024;
/// At most this part of the descriptors is held by clients for requests: a third.
const CLIENT_SHARE: usize = 3;
/// Clients send new requests for so long, in milliseconds.
const SENDING_MS: u64 = 1500;
/// The pace of a slow client, in bytes a second, and the factor up to which others are faster.
const MIN_PACE: u64 = 64_000;
const MAX_PACE_FACTOR: u64 = 8;
/// The lengths of bodies and replies: nothing, buffered, around the limit of what is buffered, streamed.
const LENGTHS: [std::ops::Range<usize>; 4] = [0..1000, 1000..65_000, 65_000..66_500, 66_500..400_000];
/// The longest wait of a node before it reads a body, in milliseconds.
const MAX_STALL_MS: u64 = 800;
/// The longest pause of a node in the middle of a reply, in milliseconds.
const MAX_PAUSE_MS: u64 = 700;
/// The part of the descriptors that a crowd of stalled clients takes.
const CROWD_SHARE: usize = 8;

/// The requests of a client: it sends each on a new connection, after the answer to the one before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientPlan {
    /// Start of the first request, in milliseconds.
    pub starts_at_ms: u64,
    /// Its requests.
    pub requests: Vec<RequestPlan>,
}

/// A request, and the pace of its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestPlan {
    /// Length of the body in bytes; `None` for a read.
    pub body_bytes: Option<usize>,
    /// The body is sent in chunks, without a length.
    pub is_chunked: bool,
    /// The node's part.
    pub object: Object,
    /// The pace at which the body is sent and the answer is read, in bytes a second; `None` as fast as
    /// possible.
    pub pace: Option<u64>,
    /// The client disconnects after this part of the body was sent, in bytes.
    pub leaves_after: Option<usize>,
}

/// The kind of request that most clients of a play send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Focus {
    /// Any.
    None,
    /// Writes with bodies of this length, and short replies.
    Bodies(LengthRange),
    /// Reads with replies of this length.
    Replies(LengthRange),
}

/// Index of a range of lengths: nothing, buffered, around the limit of what is buffered, streamed.
type LengthRange = usize;

/// The share of a play's requests that are of its focus: seven of eight.
const FOCUS_OF: u32 = 8;

/// The limits, the clients and the upgrade of one play.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// The limit on memory, in MB.
    pub memory_mb: usize,
    /// The limit on descriptors.
    pub sockets: usize,
    /// The kind of request that most clients send.
    pub focus: Focus,
    /// Start of a second process, in milliseconds; `None` for a play without an upgrade.
    pub upgrade_at_ms: Option<u64>,
    /// The clients.
    pub clients: Vec<ClientPlan>,
    /// Clients that never complete a request.
    pub crowd: Vec<StalledClient>,
}

/// A client that never completes a request, and stays until it gets an error or its connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalledClient {
    /// When it connects, in milliseconds.
    pub starts_at_ms: u64,
    /// What it sends.
    pub kind: Stalled,
}

/// What a stalled client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stalled {
    /// Nothing.
    Nothing,
    /// A head of short fields that never ends.
    EndlessHead,
    /// Half of a body of this length, in bytes.
    HalfBody(usize),
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        // The least memory, with many descriptors, is drawn in half of the plans.
        let is_small = random.bool();
        let memory_mb = if is_small { *MEMORY_MB.start() } else { random.usize(MEMORY_MB) };
        let sockets = if is_small { random.usize(MANY_SOCKETS) } else { random.usize(SOCKETS) };
        let upgrade_at_ms = (random.u32(..3) == 0).then(|| random.u64(300..SENDING_MS));
        let clients =
            if upgrade_at_ms.is_some() { sockets / (2 * CLIENT_SHARE) } else { sockets / CLIENT_SHARE };
        let range = random.usize(1..LENGTHS.len());
        let focuses = [Focus::None, Focus::Bodies(range), Focus::Bodies(range), Focus::Replies(range)];
        let focus = focuses[random.usize(..focuses.len())];
        let clients = (0..clients).map(|_| draw_client(&mut random, focus)).collect();
        // A process that is upgraded has no descriptors for a crowd as well.
        let has_crowd = upgrade_at_ms.is_none() && random.bool();
        let crowd = if has_crowd { sockets / CROWD_SHARE } else { 0 };
        let crowd = (0..crowd).map(|_| draw_stalled(&mut random)).collect();
        Self { seed, memory_mb, sockets, focus, upgrade_at_ms, clients, crowd }
    }
}

fn draw_client(random: &mut Rng, focus: Focus) -> ClientPlan {
    let starts_at_ms = random.u64(..SENDING_MS);
    let requests = (0..random.usize(1..4)).map(|_| draw_request(random, focus)).collect();
    ClientPlan { starts_at_ms, requests }
}

fn draw_stalled(random: &mut Rng) -> StalledClient {
    let kinds = [Stalled::Nothing, Stalled::EndlessHead, Stalled::HalfBody(draw_length(random, 3))];
    StalledClient { starts_at_ms: random.u64(..SENDING_MS), kind: kinds[random.usize(..kinds.len())] }
}

fn draw_length(random: &mut Rng, range: LengthRange) -> usize {
    random.usize(LENGTHS[range].clone())
}

fn draw_any_length(random: &mut Rng) -> usize {
    let range = random.usize(..LENGTHS.len());
    draw_length(random, range)
}

fn draw_request(random: &mut Rng, focus: Focus) -> RequestPlan {
    match focus {
        Focus::Bodies(range) if random.u32(..FOCUS_OF) > 0 => RequestPlan {
            body_bytes: Some(draw_length(random, range)),
            pace: Some(MIN_PACE),
            ..draw_focused(random, 0)
        },
        Focus::Replies(range) if random.u32(..FOCUS_OF) > 0 => {
            let reply_bytes = draw_length(random, range);
            RequestPlan { pace: Some(MIN_PACE), ..draw_focused(random, reply_bytes) }
        }
        _ => draw_any_request(random),
    }
}

/// Draws a read of which the node does not stall.
fn draw_focused(random: &mut Rng, reply_bytes: usize) -> RequestPlan {
    let request = draw_any_request(random);
    let object = Object { reply_bytes, stall_ms: 0, ..request.object };
    RequestPlan { body_bytes: None, object, leaves_after: None, ..request }
}

fn draw_any_request(random: &mut Rng) -> RequestPlan {
    let body_bytes = random.bool().then(|| draw_any_length(random));
    let framings = [ReplyFraming::Length, ReplyFraming::Chunked, ReplyFraming::UntilClosed];
    let object = Object {
        reply_bytes: draw_any_length(random),
        framing: framings[random.usize(..framings.len())],
        stall_ms: if random.u32(..4) == 0 { random.u64(..MAX_STALL_MS) } else { 0 },
        pause_ms: if random.u32(..4) == 0 { random.u64(..MAX_PAUSE_MS) } else { 0 },
    };
    let pace = random.bool().then(|| MIN_PACE * random.u64(1..=MAX_PACE_FACTOR));
    let leaves_after = body_bytes.filter(|_| random.u32(..8) == 0).map(|bytes| random.usize(..=bytes));
    RequestPlan { body_bytes, is_chunked: random.u32(..4) == 0, object, pace, leaves_after }
}
