//! What the front gives back: a whole body, or one that passes.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Instant;

use super::connections::{Client, Phase};
use heathward_core::{BodyInterrupted, StreamedReply};

/// The body of an answer to a client.
pub enum Outgoing {
    /// Held whole.
    Whole(Option<Bytes>),
    /// On its way from a node, to that client.
    Passing(StreamedReply, Arc<Client>),
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyInterrupted>>> {
        match &mut *self {
            Self::Whole(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            Self::Passing(passing, client) => {
                let next = ready!(passing.body.poll_next(cx));
                // The connection has taken what came before.
                client.enter(Phase::Passing(Instant::now()));
                Poll::Ready(next.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => SizeHint::with_exact(body.as_ref().map_or(0, |body| body.len() as u64)),
            Self::Passing(passing, _) => passing.content_length.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        if let Self::Passing(_, client) = self {
            client.enter(Phase::Idle(Instant::now()));
        }
    }
}
