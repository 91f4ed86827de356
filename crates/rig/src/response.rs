//! HTTP responses of the stand-ins: a body that is streamed in chunks, and complete responses.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body::{Body, Frame};
use thiserror::Error;
use tokio::sync::mpsc;

/// Error in a body that makes the server reset the connection.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stand-in resets the connection")]
pub(crate) struct ConnectionReset;

/// The next chunk of a streamed body, or a reset of its connection.
pub(crate) type BodyChunk = Result<Bytes, ConnectionReset>;

/// A body whose chunks are sent as they come. `on_drop` is called when the body is dropped, at its end or earlier.
pub(crate) struct StreamBody {
    chunks: Option<mpsc::Receiver<BodyChunk>>,
    whole: Option<Bytes>,
    on_drop: Option<Box<dyn FnOnce() + Send>>,
}

impl StreamBody {
    pub fn new(chunks: mpsc::Receiver<BodyChunk>, on_drop: impl FnOnce() + Send + 'static) -> Self {
        StreamBody { chunks: Some(chunks), whole: None, on_drop: Some(Box::new(on_drop)) }
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        if let Some(on_drop) = self.on_drop.take() {
            on_drop();
        }
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = ConnectionReset;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionReset>>> {
        if let Some(bytes) = self.whole.take() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        match &mut self.chunks {
            Some(chunks) => chunks.poll_recv(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_none() && self.whole.is_none()
    }
}

/// A response with a complete body.
pub(crate) fn plain_response(status: StatusCode, body: impl Into<Bytes>) -> Response<StreamBody> {
    let body: Bytes = body.into();
    let body = Some(body).filter(|body| !body.is_empty());
    let mut response = Response::new(StreamBody { chunks: None, whole: body, on_drop: None });
    *response.status_mut() = status;
    response
}
