//! A line to a typed request, and a typed reply to text.

use std::fmt;

use heathward_core::{Command, Metrics, NotDone};

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
    Command(Command),
}

/// Why a line is no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable(pub &'static str);

impl Request {
    /// Decodes a line without its end.
    pub fn parse(line: &[u8]) -> Result<Self, Unreadable> {
        let text = std::str::from_utf8(line).map_err(|_| Unreadable("not text"))?;
        let mut words = text.split_ascii_whitespace();
        let (name, id) = (words.next().unwrap_or_default(), words.next());
        if words.next().is_some() {
            return Err(Unreadable("too many words"));
        }
        let plain = |request| match id {
            None => Ok(request),
            Some(_) => Err(Unreadable("takes no id")),
        };
        let node = || match id {
            None => Err(Unreadable("takes the id of a storage node")),
            Some(id) if id.len() > LONGEST_ID => Err(Unreadable("id too long")),
            Some(id) => Ok(id.into()),
        };
        match name {
            "STATUS" => plain(Self::Status),
            "METRICS" => plain(Self::Metrics),
            "PAUSE" => plain(Self::Command(Command::Pause)),
            "RESUME" => plain(Self::Command(Command::Resume)),
            "SUSPEND" => Ok(Self::Command(Command::Suspend(node()?))),
            "RESTORE" => Ok(Self::Command(Command::Restore(node()?))),
            _ => Err(Unreadable("unknown call")),
        }
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status => f.write_str("STATUS"),
            Self::Metrics => f.write_str("METRICS"),
            Self::Command(Command::Suspend(id)) => write!(f, "SUSPEND {id}"),
            Self::Command(Command::Restore(id)) => write!(f, "RESTORE {id}"),
            Self::Command(Command::Pause) => f.write_str("PAUSE"),
            Self::Command(Command::Resume) => f.write_str("RESUME"),
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
    Unreadable(Unreadable),
    /// Not done.
    NotDone(NotDone),
    /// The metrics, and the names of the classes.
    Metrics(Box<Metrics>, Vec<String>),
}

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ok => f.write_str("OK\n"),
            Self::NotReady => f.write_str("ERR not ready\n"),
            Self::Unreadable(Unreadable(why)) => writeln!(f, "ERR {why}"),
            Self::NotDone(why) => writeln!(f, "ERR {why}"),
            Self::Metrics(metrics, classes) => {
                let Metrics { counters, active, listed, avoided } = &**metrics;
                for (at, class) in classes.iter().enumerate() {
                    let answers = counters.answers.get(at).copied().unwrap_or_default();
                    let head = format!("app.responses.{class}");
                    writeln!(f, "{head}.ok={}", answers.served)?;
                    writeln!(f, "{head}.shed={}", answers.refused)?;
                    writeln!(f, "{head}.errors={}", answers.failed)?;
                }
                writeln!(f, "app.tries={}\napp.active={active}", counters.tries)?;
                writeln!(f, "app.pool_size={listed}\napp.pool_ejected={avoided}")?;
                let (applied, rejected) = counters.configured;
                writeln!(f, "app.config_applied={applied}\napp.config_rejected={rejected}\nEND")
            }
        }
    }
}
