//! A call at a scheduler's second address, from the caller's side.

use std::fmt;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use super::codec::Request;

/// No answer is longer, bytes.
const LONGEST_ANSWER: u64 = 256 * 1024;

/// Why a call was not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The scheduler says no, and why.
    Rejected(String),
    /// Nobody answers there in time, and why.
    NoAnswer(String),
    /// What came is no answer to such a call.
    Malformed,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rejected(why) => write!(f, "refused: {why}"),
            Self::NoAnswer(why) => write!(f, "nobody answers: {why}"),
            Self::Malformed => f.write_str("the answer can't be read"),
        }
    }
}

impl std::error::Error for CallError {}

/// The lines of a good answer, without the last one of a list; a command's has none.
///
/// # Errors
/// [`CallError`] where the scheduler refuses, or does not answer by the deadline.
pub async fn call(at: SocketAddr, request: &Request, deadline: Instant) -> Result<Vec<String>, CallError> {
    let asked = async {
        let mut stream = TcpStream::connect(at).await?;
        stream.write_all(format!("{request}\n").as_bytes()).await?;
        let mut text = String::new();
        stream.take(LONGEST_ANSWER).read_to_string(&mut text).await?;
        Ok::<_, std::io::Error>(text)
    };
    let text = match timeout_at(deadline, asked).await {
        Ok(Ok(text)) => text,
        Ok(Err(error)) => return Err(CallError::NoAnswer(error.to_string())),
        Err(_) => return Err(CallError::NoAnswer("not in time".to_owned())),
    };
    read(&text, matches!(request, Request::Metrics))
}

/// An answer's lines, whether it is a list that ends with `END` or one line.
fn read(text: &str, list: bool) -> Result<Vec<String>, CallError> {
    if let Some(why) = text.strip_prefix("ERR") {
        return Err(CallError::Rejected(why.trim().to_owned()));
    }
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    match lines.pop().as_deref() {
        Some("END") if list => Ok(lines),
        Some(line) if !list && lines.is_empty() && line.starts_with("OK") => Ok(lines),
        None => Err(CallError::NoAnswer("closed without an answer".to_owned())),
        Some(_) => Err(CallError::Malformed),
    }
}

#[cfg(test)]
mod tests;
