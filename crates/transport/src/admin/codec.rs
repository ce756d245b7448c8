//! A line to a typed request, and a typed reply to text.

use std::fmt;

use heathward_core::{CommandError, ConfigurationReloads, CoreMetrics, OperatorCommand};

/// The longest id of a storage node.
const LONGEST_ID: usize = 128;

/// What staff call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Can this process serve?
    Status,
    /// The metrics.
    Metrics,
    /// Carry that out.
    Command(OperatorCommand),
}

/// Why a line is no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedRequest(pub &'static str);

impl Request {
    /// Decodes a line without its end.
    pub fn parse(line: &[u8]) -> Result<Self, MalformedRequest> {
        let text = std::str::from_utf8(line).map_err(|_| MalformedRequest("not text"))?;
        let mut words = text.split_ascii_whitespace();
        let (name, id) = (words.next().unwrap_or_default(), words.next());
        if words.next().is_some() {
            return Err(MalformedRequest("too many words"));
        }
        let plain = |request| match id {
            None => Ok(request),
            Some(_) => Err(MalformedRequest("takes no id")),
        };
        let node = || match id {
            None => Err(MalformedRequest("takes the id of a storage node")),
            Some(id) if id.len() > LONGEST_ID => Err(MalformedRequest("id too long")),
            Some(id) => Ok(id.into()),
        };
        match name {
            "STATUS" => plain(Self::Status),
            "METRICS" => plain(Self::Metrics),
            "PAUSE" => plain(Self::Command(OperatorCommand::Pause)),
            "RESUME" => plain(Self::Command(OperatorCommand::Resume)),
            "SUSPEND" => Ok(Self::Command(OperatorCommand::Suspend(node()?))),
            "RESTORE" => Ok(Self::Command(OperatorCommand::Restore(node()?))),
            _ => Err(MalformedRequest("unknown call")),
        }
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status => f.write_str("STATUS"),
            Self::Metrics => f.write_str("METRICS"),
            Self::Command(OperatorCommand::Suspend(id)) => write!(f, "SUSPEND {id}"),
            Self::Command(OperatorCommand::Restore(id)) => write!(f, "RESTORE {id}"),
            Self::Command(OperatorCommand::Pause) => f.write_str("PAUSE"),
            Self::Command(OperatorCommand::Resume) => f.write_str("RESUME"),
        }
    }
}

/// What staff are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Yes, or done.
    Ok,
    /// Not yet: there is no list of storage nodes.
    NotReady,
    /// The call can't be read.
    Malformed(MalformedRequest),
    /// Not done.
    CommandFailed(CommandError),
    /// The metrics, and the names of the classes.
    Metrics(Box<CoreMetrics>, Vec<String>),
}

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ok => f.write_str("OK\n"),
            Self::NotReady => f.write_str("ERR not ready\n"),
            Self::Malformed(MalformedRequest(why)) => writeln!(f, "ERR {why}"),
            Self::CommandFailed(why) => writeln!(f, "ERR {why}"),
            Self::Metrics(metrics, classes) => {
                let CoreMetrics {
                    counters,
                    active_requests: active,
                    listed_nodes: listed,
                    avoided_nodes: avoided,
                } = &**metrics;
                for (at, class) in classes.iter().enumerate() {
                    let answers = counters.answers_by_class.get(at).copied().unwrap_or_default();
                    let head = format!("app.responses.{class}");
                    writeln!(f, "{head}.ok={}", answers.served)?;
                    writeln!(f, "{head}.shed={}", answers.shed)?;
                    writeln!(f, "{head}.errors={}", answers.failed)?;
                }
                writeln!(f, "app.tries={}\napp.active={active}", counters.attempts_written)?;
                writeln!(f, "app.pool_size={listed}\napp.pool_ejected={avoided}")?;
                let ConfigurationReloads { applied, rejected } = counters.configuration_reloads;
                writeln!(f, "app.config_applied={applied}\napp.config_rejected={rejected}\nEND")
            }
        }
    }
}
