//! The body of an answer to a client: buffered, or streamed from a node.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Instant;

use super::connections::{ClientConnection, Phase};
use heathward_core::{BodyInterrupted, StreamedReply};

/// The body of an answer to a client.
pub enum AnswerBody {
    /// The complete body; `None` if it is empty or was sent.
    Buffered(Option<Bytes>),
    /// A body that is still being received from a node, and the connection that it is sent on.
    Streamed(StreamedReply, Arc<ClientConnection>),
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
            Self::Streamed(reply, client) => {
                let next = ready!(reply.body.poll_next(cx));
                // The connection polls for the next chunk only after it has accepted the one before.
                client.set_phase(Phase::StreamingAnswer(Instant::now()));
                Poll::Ready(next.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => SizeHint::with_exact(body.as_ref().map_or(0, |body| body.len() as u64)),
            Self::Streamed(reply, _) => reply.content_length.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Self::Streamed(_, client) = self {
            client.set_phase(Phase::Idle(Instant::now()));
        }
    }
}
