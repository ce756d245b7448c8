//! Requests and replies of the admin interface, and their text form. This module maps the names in the text
//! to the names in the code.

use std::fmt;

use thiserror::Error;

use heathward_core::memory::{MemoryHolder, MemoryUsage};
use heathward_core::{CommandError, ConfigurationReloads, CoreMetrics, OperatorCommand};

/// The maximum length of a storage node's id.
const MAX_NODE_ID_BYTES: usize = 128;

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Asks whether this process can serve.
    Status,
    /// Asks for the metrics.
    Metrics,
    /// Asks the process to carry out a command.
    Command(OperatorCommand),
}

/// Why a line cannot be decoded as a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MalformedRequest {
    /// It is not UTF-8.
    #[error("not text")]
    NotUtf8,
    /// It has more than two words.
    #[error("too many words")]
    TooManyWords,
    /// It contains a node's id, which its request does not take.
    #[error("takes no id")]
    UnexpectedNodeId,
    /// It lacks the node's id, which its request requires.
    #[error("takes the id of a storage node")]
    MissingNodeId,
    /// The node's id has more than 128 bytes.
    #[error("id too long")]
    NodeIdTooLong,
    /// Its first word is not the name of a request.
    #[error("unknown call")]
    UnknownRequest,
    /// The caller closed its side before the end of the line.
    #[error("line without an end")]
    Unterminated,
    /// The line has more than 512 bytes.
    #[error("line too long")]
    TooLong,
}

impl Request {
    /// Decodes a line without its end.
    ///
    /// # Errors
    /// [`MalformedRequest`] if the line is not a valid request.
    pub fn parse(line: &[u8]) -> Result<Self, MalformedRequest> {
        let text = std::str::from_utf8(line).map_err(|_| MalformedRequest::NotUtf8)?;
        let mut words = text.split_ascii_whitespace();
        let name = words.next().unwrap_or_default();
        let node_id = words.next();
        if words.next().is_some() {
            return Err(MalformedRequest::TooManyWords);
        }
        match name {
            "STATUS" => without_node_id(Self::Status, node_id),
            "METRICS" => without_node_id(Self::Metrics, node_id),
            "PAUSE" => without_node_id(Self::Command(OperatorCommand::Pause), node_id),
            "RESUME" => without_node_id(Self::Command(OperatorCommand::Resume), node_id),
            "SUSPEND" => Ok(Self::Command(OperatorCommand::Suspend(required_node_id(node_id)?))),
            "RESTORE" => Ok(Self::Command(OperatorCommand::Restore(required_node_id(node_id)?))),
            _ => Err(MalformedRequest::UnknownRequest),
        }
    }
}

fn without_node_id(request: Request, node_id: Option<&str>) -> Result<Request, MalformedRequest> {
    match node_id {
        None => Ok(request),
        Some(_) => Err(MalformedRequest::UnexpectedNodeId),
    }
}

fn required_node_id(node_id: Option<&str>) -> Result<Box<str>, MalformedRequest> {
    match node_id {
        None => Err(MalformedRequest::MissingNodeId),
        Some(id) if id.len() > MAX_NODE_ID_BYTES => Err(MalformedRequest::NodeIdTooLong),
        Some(id) => Ok(id.into()),
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status => f.write_str("STATUS"),
            Self::Metrics => f.write_str("METRICS"),
            Self::Command(OperatorCommand::Suspend(node_id)) => write!(f, "SUSPEND {node_id}"),
            Self::Command(OperatorCommand::Restore(node_id)) => write!(f, "RESTORE {node_id}"),
            Self::Command(OperatorCommand::Pause) => f.write_str("PAUSE"),
            Self::Command(OperatorCommand::Resume) => f.write_str("RESUME"),
        }
    }
}

/// The reply to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The process can serve, or the command was carried out.
    Ok,
    /// The process cannot serve: it has no list of storage nodes yet, or its core has stopped.
    NotReady,
    /// The request cannot be decoded.
    Malformed(MalformedRequest),
    /// The command was not carried out, or not by both processes.
    CommandFailed(CommandError),
    /// The metrics.
    Metrics {
        /// The values of the metrics.
        metrics: Box<CoreMetrics>,
        /// The resident memory of the process in bytes, if the system tells it.
        resident_bytes: Option<usize>,
        /// The names of the request classes, in the order of their indices.
        class_names: Vec<String>,
    },
}

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ok => f.write_str("OK\n"),
            Self::NotReady => f.write_str("ERR not ready\n"),
            Self::Malformed(reason) => writeln!(f, "ERR {reason}"),
            Self::CommandFailed(error) => writeln!(f, "ERR {error}"),
            Self::Metrics { metrics, resident_bytes, class_names } => {
                write_metrics(f, metrics, *resident_bytes, class_names)
            }
        }
    }
}

fn write_metrics(
    f: &mut fmt::Formatter<'_>,
    metrics: &CoreMetrics,
    resident_bytes: Option<usize>,
    class_names: &[String],
) -> fmt::Result {
    let CoreMetrics { counters, active_requests, listed_nodes, avoided_nodes, memory } = metrics;
    for (index, class) in class_names.iter().enumerate() {
        let answers = counters.answers_by_class.get(index).copied().unwrap_or_default();
        writeln!(f, "app.responses.{class}.ok={}", answers.served)?;
        writeln!(f, "app.responses.{class}.shed={}", answers.shed)?;
        writeln!(f, "app.responses.{class}.errors={}", answers.failed)?;
    }
    writeln!(f, "app.tries={}", counters.attempts_written)?;
    writeln!(f, "app.active={active_requests}")?;
    writeln!(f, "app.pool_size={listed_nodes}")?;
    writeln!(f, "app.pool_ejected={avoided_nodes}")?;
    let ConfigurationReloads { applied, rejected } = counters.configuration_reloads;
    writeln!(f, "app.config_applied={applied}")?;
    writeln!(f, "app.config_rejected={rejected}")?;
    if let Some(bytes) = resident_bytes {
        writeln!(f, "app.memory.resident={bytes}")?;
    }
    write_memory_usage(f, memory)?;
    writeln!(f, "END")
}

fn write_memory_usage(f: &mut fmt::Formatter<'_>, usage: &MemoryUsage) -> fmt::Result {
    writeln!(f, "app.memory.bodies_limit={}", usage.limits.bodies)?;
    writeln!(f, "app.memory.total_limit={}", usage.limits.total)?;
    writeln!(f, "app.memory.shared_limit={}", usage.limits.shared)?;
    writeln!(f, "app.memory.bodies_peak={}", usage.peak_bodies)?;
    for (holder, bytes) in MemoryHolder::ALL.iter().zip(usage.held) {
        writeln!(f, "app.memory.held.{}={bytes}", holder_name(*holder))?;
    }
    writeln!(f, "app.memory.unbuffered={}", usage.unbuffered_bodies)?;
    writeln!(f, "app.memory.waits={}", usage.waits)
}

/// Returns the name of a holder in the metrics.
fn holder_name(holder: MemoryHolder) -> &'static str {
    match holder {
        MemoryHolder::RequestBodies => "request_bodies",
        MemoryHolder::Uploads => "uploads",
        MemoryHolder::Replies => "replies",
        MemoryHolder::Downloads => "downloads",
        MemoryHolder::NvmeCommands => "nvme_commands",
        MemoryHolder::ClientConnections => "client_connections",
        MemoryHolder::NodeConnections => "node_connections",
    }
}
