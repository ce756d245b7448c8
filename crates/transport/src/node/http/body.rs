//! The body of a request to a node: buffered, or streamed from a client.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::super::WriteProgress;
use heathward_core::{BodyInterrupted, BodyStream};

/// The body of a request that is sent to a node.
pub(super) struct OutgoingBody {
    pub(super) buffered: Option<Bytes>,
    /// A streamed body, its length if it is known, and where to record that it has ended.
    pub(super) streamed: Option<(BodyStream, Option<u64>, Arc<WriteProgress>)>,
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyInterrupted>>> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let Some((chunks, _, written)) = &mut self.streamed else { return Poll::Ready(None) };
        let next = ready!(chunks.poll_next(cx));
        if next.is_none() {
            written.mark_body_end();
        }
        Poll::Ready(next.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_none() && self.streamed.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.streamed {
            None => SizeHint::with_exact(self.buffered.as_ref().map_or(0, |buffered| buffered.len() as u64)),
            Some((_, length, _)) => length.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}
