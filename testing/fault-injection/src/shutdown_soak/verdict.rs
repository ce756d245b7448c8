//! The rules, held against what clients and nodes saw.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use heathward_fakes::Seen;
use serde::Serialize;
use tokio::time::Instant;

use super::clients::{Asked, Came};
use super::plan::Plan;

/// The next process is ready this long after it was started.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// On sockets every limit is longer by this much.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// New connections come for this long after SIGTERM.
const NEW_CONNECTIONS_FOR: Duration = Duration::from_millis(400);

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// A request was forwarded, and its client has no complete answer.
    Lost {
        /// Its id.
        id: u32,
        /// When it was written, after the first SIGTERM; negative before it.
        at_ms: i64,
        /// What its client saw.
        came: Came,
    },
    /// The first request on a connection that was made soon after SIGTERM has no answer.
    NewConnection(u32),
    /// A request was on two connections to nodes at once.
    Doubled(String),
    /// A part of an answer came.
    Truncated(u32),
    /// A request was sent to a node after its answer.
    SentAfterAnswer {
        /// Its id.
        id: u32,
        /// When the node had read it, after the client had its answer.
        late_ms: u64,
    },
    /// Nothing at all came of a request until SIGKILL.
    Unanswered(u32),
    /// SIGKILL found the process, and no stop explains it.
    Killed,
    /// It ended with another exit code than 0.
    ExitCode(Option<i32>),
    /// The next process was not ready in time.
    NotReady,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// How the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exit {
    /// After the first SIGTERM; `None` if SIGKILL found it.
    pub after: Option<Duration>,
    /// Its exit code, if it has one.
    pub code: Option<i32>,
}

/// What was seen in a play.
pub struct Observed {
    /// The first SIGTERM.
    pub signalled: Instant,
    /// Of all clients and the crowd.
    pub asked: Vec<Asked>,
    /// Of all nodes.
    pub seen: Vec<Seen>,
    /// How the process ended.
    pub exit: Exit,
    /// When the next process was ready after its start, if it was.
    pub next_ready: Option<Duration>,
}

/// What a play came to.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The plan.
    pub plan: Plan,
    /// Requests that were served after the first SIGTERM.
    pub served: usize,
    /// Requests that were refused.
    pub refused: usize,
    /// Requests that failed.
    pub failed: usize,
    /// Requests that were written and never read: their connections ended before.
    pub unread: usize,
    /// When the process ended, after the first SIGTERM; `None` if SIGKILL found it.
    pub exit_ms: Option<u64>,
    /// When the next process was ready, after its start.
    pub ready_ms: Option<u64>,
    /// The rules that were broken.
    #[serde(skip)]
    pub breaches: Vec<Breach>,
}

impl Outcome {
    /// Holds the rules against what was seen.
    pub fn judge(plan: Plan, observed: &Observed) -> Self {
        let after: Vec<&Asked> =
            observed.asked.iter().filter(|asked| asked.came_at >= observed.signalled).collect();
        let count = |of: fn(Came) -> bool| after.iter().filter(|asked| of(asked.came)).count();
        let mut breaches = request_breaches(observed);
        breaches.extend(exit_breaches(&plan, observed));
        Self {
            served: count(|came| came == Came::Answer(200)),
            refused: count(|came| came == Came::Answer(503)),
            failed: count(|came| matches!(came, Came::Answer(500..=502 | 504..))),
            unread: count(|came| matches!(came, Came::Closed | Came::Reset)),
            exit_ms: observed.exit.after.map(|after| after.as_millis() as u64),
            ready_ms: observed.next_ready.map(|after| after.as_millis() as u64),
            breaches,
            plan,
        }
    }
}

fn request_breaches(observed: &Observed) -> Vec<Breach> {
    let mut sent: HashMap<u32, Vec<&Seen>> = HashMap::new();
    let mut breaches = Vec::new();
    for seen in &observed.seen {
        if let Ok(id) = u32::from_str_radix(&seen.call, 16) {
            sent.entry(id).or_default().push(seen);
        }
        if seen.beside != 1 {
            breaches.push(Breach::Doubled(seen.call.clone()));
        }
    }
    for asked in &observed.asked {
        let forwarded = sent.get(&asked.id);
        match asked.came {
            Came::Answer(_) => {
                let last = forwarded.and_then(|seen| seen.iter().map(|seen| seen.at).max());
                let late = last.map_or(Duration::ZERO, |at| at.saturating_duration_since(asked.came_at));
                if late > SOCKET_SLACK {
                    breaches.push(Breach::SentAfterAnswer { id: asked.id, late_ms: late.as_millis() as u64 });
                }
            }
            Came::Truncated => breaches.push(Breach::Truncated(asked.id)),
            Came::Closed | Came::Reset | Came::Nothing if forwarded.is_some() => {
                let at_ms = asked.at.saturating_duration_since(observed.signalled).as_millis() as i64
                    - observed.signalled.saturating_duration_since(asked.at).as_millis() as i64;
                breaches.push(Breach::Lost { id: asked.id, at_ms, came: asked.came });
            }
            // A client sends such a request once more only if its connection has carried another.
            Came::Closed | Came::Reset | Came::Nothing if is_due_on_new_connection(asked, observed) => {
                breaches.push(Breach::NewConnection(asked.id));
            }
            // Whoever connects while the process ends may find it gone; so it waits at the next one.
            Came::Nothing if observed.exit.after.is_none() => breaches.push(Breach::Unanswered(asked.id)),
            Came::Closed | Came::Reset | Came::Nothing => {}
        }
    }
    breaches
}

fn is_due_on_new_connection(asked: &Asked, observed: &Observed) -> bool {
    asked.is_first && asked.at <= observed.signalled + NEW_CONNECTIONS_FOR
}

fn exit_breaches(plan: &Plan, observed: &Observed) -> Vec<Breach> {
    let mut breaches = Vec::new();
    match observed.exit {
        Exit { after: Some(_), code: Some(0) } => {}
        Exit { after: Some(_), code } => breaches.push(Breach::ExitCode(code)),
        // A process that is stopped just before its end may be found by SIGKILL, with all answers given.
        Exit { after: None, .. } if plan.stalls.iter().any(|stall| stall.from_ms + 350 > plan.kill_ms()) => {}
        Exit { after: None, .. } => breaches.push(Breach::Killed),
    }
    if observed.next_ready.is_none_or(|ready| ready > READY_WITHIN) {
        breaches.push(Breach::NotReady);
    }
    breaches
}
