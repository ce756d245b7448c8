//! The body of an answer to a client: buffered, or streamed from a node.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Instant;

use super::connections::{Client, Phase};
use heathward_core::{BodyInterrupted, StreamedReply};

/// The body of an answer to a client.
pub enum AnswerBody {
    /// The complete body; `None` if it is empty or was sent.
    Buffered(Option<Bytes>),
    /// On its way from a node, to that client.
    Streamed(StreamedReply, Arc<Client>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyInterrupted>>> {
        match &mut *self {
            Self::Buffered(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            Self::Streamed(passing, client) => {
                let next = ready!(passing.body.poll_next(cx));
                // The connection has taken what came before.
                client.enter(Phase::StreamingAnswer(Instant::now()));
                Poll::Ready(next.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => SizeHint::with_exact(body.as_ref().map_or(0, |body| body.len() as u64)),
            Self::Streamed(passing, _) => {
                passing.content_length.map(SizeHint::with_exact).unwrap_or_default()
            }
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Self::Streamed(_, client) = self {
            client.enter(Phase::Idle(Instant::now()));
        }
    }
}
