//! The body of an answer to a client: buffered, or streamed from a node.

use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Instant;

use super::connections::Phase;
use super::stream::ClientStream;
use heathward_core::{BodyInterrupted, StreamedReply};

/// What an answer consists of beside its head.
pub enum AnswerContent {
    /// The complete body; `None` if it is empty or was sent.
    Buffered(Option<Bytes>),
    /// A body that is still being received from a node.
    Streamed(StreamedReply),
}

/// The body of an answer to a client, and the stream that it is sent on.
pub struct AnswerBody {
    content: AnswerContent,
    stream: ClientStream,
}

impl AnswerBody {
    /// Creates the body of an answer that is sent on `stream`.
    pub(super) fn new(content: AnswerContent, stream: ClientStream) -> Self {
        Self { content, stream }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyInterrupted>>> {
        let Self { content, stream } = &mut *self;
        match content {
            AnswerContent::Buffered(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            AnswerContent::Streamed(reply) => {
                // A chunk is demanded only when it can be passed on to the system at once. An error of the
                // system is reported by the next write.
                ready!(stream.poll_space(cx));
                let Poll::Ready(next) = reply.body.poll_next(cx) else {
                    // The client waits for the node or for memory here, and not the other way round.
                    stream.client().set_phase(Phase::Processing);
                    return Poll::Pending;
                };
                stream.client().set_phase(Phase::SendingAnswer(Instant::now()));
                if matches!(next, Some(Ok(_))) {
                    stream.begin_chunk();
                }
                Poll::Ready(next.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, AnswerContent::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            AnswerContent::Buffered(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |body| body.len() as u64))
            }
            AnswerContent::Streamed(reply) => {
                reply.content_length.map(SizeHint::with_exact).unwrap_or_default()
            }
        }
    }
}

impl Drop for AnswerBody {
    /// hyper drops the body once it holds the rest of it, which the system may take much later.
    fn drop(&mut self) {
        self.stream.client().record_answer_end();
    }
}
