//! What the stand-ins share: a body that is told piece by piece, and plain answers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body::{Body, Frame};
use thiserror::Error;
use tokio::sync::mpsc;

/// The connection is to be reset here.
#[derive(Clone, Copy, Debug, Error)]
#[error("reset")]
pub(crate) struct ConnectionReset;

/// What a stand-in says next.
pub(crate) type BodyChunk = Result<Bytes, ConnectionReset>;

/// A body that comes as it is said. `gone` hears when nobody wants more of it.
pub(crate) struct StreamBody {
    from: Option<mpsc::Receiver<BodyChunk>>,
    at_once: Option<Bytes>,
    gone: Option<Box<dyn FnOnce() + Send>>,
}

impl StreamBody {
    pub fn new(from: mpsc::Receiver<BodyChunk>, gone: impl FnOnce() + Send + 'static) -> Self {
        StreamBody { from: Some(from), at_once: None, gone: Some(Box::new(gone)) }
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        if let Some(gone) = self.gone.take() {
            gone();
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
        if let Some(bytes) = self.at_once.take() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        match &mut self.from {
            Some(from) => from.poll_recv(cx).map(|said| said.map(|said| said.map(Frame::data))),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.from.is_none() && self.at_once.is_none()
    }
}

/// A whole answer.
pub(crate) fn plain_response(status: StatusCode, body: impl Into<Bytes>) -> Response<StreamBody> {
    let body: Bytes = body.into();
    let body = Some(body).filter(|body| !body.is_empty());
    let mut response = Response::new(StreamBody { from: None, at_once: body, gone: None });
    *response.status_mut() = status;
    response
}
