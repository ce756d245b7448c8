//! The rules, held against what clients and nodes saw.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use heathward_fakes::ReceivedRequest;
use serde::Serialize;
use tokio::time::Instant;

use super::clients::{Asked, Came};
use super::plan::{Plan, MAX_STALL_MS};

/// The next process is ready this long after it was started.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// On sockets every limit is longer by this much.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// An attempt may begin this long after its client has left.
const LEAVING_SLACK: Duration = Duration::from_millis(100);
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
    /// SIGKILL found a request unanswered.
    Unanswered(u32),
    /// A request was sent to a node after its client had left.
    SentAfterLeaving {
        /// Its id.
        id: u32,
        /// When the node had read it, after the client had left.
        late_ms: u64,
    },
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
pub enum Exit {
    /// By itself.
    ByItself {
        /// Time since the first SIGTERM.
        after: Duration,
        /// Its exit code, if it has one.
        code: Option<i32>,
    },
    /// SIGKILL found it.
    Killed {
        /// Just before the signal.
        at: Instant,
        /// How long it was stopped, or waited for a processor, in the time in which a stop may explain this.
        held_up: Duration,
    },
}

impl Exit {
    /// When the process ended by itself, after the first SIGTERM.
    fn after(self) -> Option<Duration> {
        match self {
            Self::ByItself { after, .. } => Some(after),
            Self::Killed { .. } => None,
        }
    }

    /// Whether the process was held up for longer than the platform does before SIGKILL found it.
    fn is_held_up_for_too_long(self) -> bool {
        matches!(self, Self::Killed { held_up, .. } if held_up > Duration::from_millis(MAX_STALL_MS))
    }
}

/// What was seen in a play.
pub struct Observed {
    /// The first SIGTERM.
    pub signalled: Instant,
    /// Of all clients and the crowd.
    pub asked: Vec<Asked>,
    /// Of all nodes.
    pub seen: Vec<ReceivedRequest>,
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
            exit_ms: observed.exit.after().map(|after| after.as_millis() as u64),
            ready_ms: observed.next_ready.map(|after| after.as_millis() as u64),
            breaches,
            plan,
        }
    }
}

fn request_breaches(observed: &Observed) -> Vec<Breach> {
    let mut sent: HashMap<u32, Vec<&ReceivedRequest>> = HashMap::new();
    let mut breaches = Vec::new();
    for seen in &observed.seen {
        if let Ok(id) = u32::from_str_radix(&seen.call, 16) {
            sent.entry(id).or_default().push(seen);
        }
        if seen.open_attempts != 1 {
            breaches.push(Breach::Doubled(seen.call.clone()));
        }
    }
    for asked in &observed.asked {
        let forwarded = sent.get(&asked.id);
        let last = forwarded.and_then(|seen| seen.iter().map(|seen| seen.at).max());
        let late = last.map_or(Duration::ZERO, |at| at.saturating_duration_since(asked.came_at));
        let late_ms = late.as_millis() as u64;
        match asked.came {
            Came::Answer(_) if late > SOCKET_SLACK => {
                breaches.push(Breach::SentAfterAnswer { id: asked.id, late_ms });
            }
            Came::Left if late > LEAVING_SLACK + SOCKET_SLACK => {
                breaches.push(Breach::SentAfterLeaving { id: asked.id, late_ms });
            }
            Came::Answer(_) | Came::Left => {}
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
            Came::Closed | Came::Reset | Came::Nothing if is_found_by_kill(asked, observed) => {
                breaches.push(Breach::Unanswered(asked.id));
            }
            // Whoever connects while the process ends may find it gone.
            Came::Closed | Came::Reset | Came::Nothing => {}
        }
    }
    breaches
}

fn is_due_on_new_connection(asked: &Asked, observed: &Observed) -> bool {
    asked.is_first && asked.at <= observed.signalled + NEW_CONNECTIONS_FOR
}

/// Whether SIGKILL found the request without an answer, and its connection open, and the process had its
/// time.
fn is_found_by_kill(asked: &Asked, observed: &Observed) -> bool {
    let Exit::Killed { at, .. } = observed.exit else { return false };
    asked.at < at && asked.came_at >= at && !observed.exit.is_held_up_for_too_long()
}

fn exit_breaches(plan: &Plan, observed: &Observed) -> Vec<Breach> {
    let mut breaches = Vec::new();
    match observed.exit {
        Exit::ByItself { code: Some(0), .. } => {}
        Exit::ByItself { code, .. } => breaches.push(Breach::ExitCode(code)),
        // A process that is stopped just before its end may be found by SIGKILL, with all answers given.
        Exit::Killed { .. } if plan.has_late_stall() || observed.exit.is_held_up_for_too_long() => {}
        Exit::Killed { .. } => breaches.push(Breach::Killed),
    }
    if observed.next_ready.is_none_or(|ready| ready > READY_WITHIN) {
        breaches.push(Breach::NotReady);
    }
    breaches
}
