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
pub(crate) struct Reset;

/// What a stand-in says next.
pub(crate) type Said = Result<Bytes, Reset>;

/// A body that comes as it is said. `gone` hears when nobody wants more of it.
pub(crate) struct Told {
    from: Option<mpsc::Receiver<Said>>,
    at_once: Option<Bytes>,
    gone: Option<Box<dyn FnOnce() + Send>>,
}

impl Told {
    pub fn new(from: mpsc::Receiver<Said>, gone: impl FnOnce() + Send + 'static) -> Self {
        Told { from: Some(from), at_once: None, gone: Some(Box::new(gone)) }
    }
}

impl Drop for Told {
    fn drop(&mut self) {
        if let Some(gone) = self.gone.take() {
            gone();
        }
    }
}

impl Body for Told {
    type Data = Bytes;
    type Error = Reset;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Reset>>> {
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
pub(crate) fn plain(status: StatusCode, body: impl Into<Bytes>) -> Response<Told> {
    let body: Bytes = body.into();
    let body = Some(body).filter(|body| !body.is_empty());
    let mut response = Response::new(Told { from: None, at_once: body, gone: None });
    *response.status_mut() = status;
    response
}
