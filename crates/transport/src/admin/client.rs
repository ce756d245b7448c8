//! The client of the admin interface.

use std::net::SocketAddr;

use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use super::codec::Request;

/// The maximum length of a reply; further bytes are not read.
const MAX_REPLY_BYTES: u64 = 256 * 1024;

/// Why a call failed. Its request may have been carried out nevertheless. The texts are part of the interface
/// of the programs that print them.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The scheduler replied with an error, for this reason.
    #[error("refused: {0}")]
    Rejected(String),
    /// The connection failed with this error of the system.
    #[error("nobody answers: {0}")]
    Connection(String),
    /// There was no complete reply by the deadline.
    #[error("nobody answers: not in time")]
    TimedOut,
    /// The connection was closed without a reply.
    #[error("nobody answers: closed without an answer")]
    NoReply,
    /// The received text is not a valid reply to the request.
    #[error("the answer can't be read")]
    Malformed,
}

/// Sends a request and returns the lines of a list, without its `END`; no lines for any other request that
/// was carried out.
///
/// # Errors
/// [`CallError`] if the scheduler replies with an error, cannot be reached, or does not send a valid reply by
/// the deadline.
pub async fn call(
    address: SocketAddr,
    request: &Request,
    deadline: Instant,
) -> Result<Vec<String>, CallError> {
    let text = match timeout_at(deadline, exchange(address, request)).await {
        Ok(Ok(text)) => text,
        Ok(Err(error)) => return Err(CallError::Connection(error.to_string())),
        Err(_) => return Err(CallError::TimedOut),
    };
    let is_list = matches!(request, Request::Metrics);
    parse_reply(&text, is_list)
}

/// Sends the request and reads the reply until the connection is closed.
async fn exchange(address: SocketAddr, request: &Request) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(format!("{request}\n").as_bytes()).await?;
    let mut text = String::new();
    stream.take(MAX_REPLY_BYTES).read_to_string(&mut text).await?;
    Ok(text)
}

/// Returns the lines of a reply that is a list, without its `END`; no lines for the reply `OK`.
fn parse_reply(text: &str, is_list: bool) -> Result<Vec<String>, CallError> {
    if let Some(reason) = text.strip_prefix("ERR") {
        return Err(CallError::Rejected(reason.trim().to_owned()));
    }
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    match lines.pop().as_deref() {
        Some("END") if is_list => Ok(lines),
        Some(line) if !is_list && lines.is_empty() && line.starts_with("OK") => Ok(lines),
        None => Err(CallError::NoReply),
        Some(_) => Err(CallError::Malformed),
    }
}

#[cfg(test)]
mod tests;
