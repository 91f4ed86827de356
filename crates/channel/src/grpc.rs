//! How an RPC client words its calls: one message in its frame, a time-out, a status in the trailers. Log
//! workers know nothing of it; they get the message and give the result.

use bytes::{BufMut, Bytes, BytesMut};
use http::{header, HeaderMap, HeaderName, HeaderValue, Response};
use http_body_util::{BodyExt, Full};

use super::{BadRequest, ResponseBody};
use rookspoke_dispatch::Answer;

/// A compression flag and a length.
const PREFIX: usize = 5;
const TIMEOUT: HeaderName = HeaderName::from_static("grpc-timeout");
const STATUS: HeaderName = HeaderName::from_static("grpc-status");
const MESSAGE: HeaderName = HeaderName::from_static("grpc-message");
/// Tells a client when to try again.
const PUSHBACK: HeaderName = HeaderName::from_static("grpc-retry-pushback-ms");
const OK: u16 = 0;
const UNKNOWN: u16 = 2;
const INVALID_ARGUMENT: u16 = 3;
const UNAVAILABLE: u16 = 14;

/// Whether a request is an RPC client's.
pub fn is_call(headers: &HeaderMap) -> bool {
    headers.get(header::CONTENT_TYPE).is_some_and(|v| v.as_bytes().starts_with(b"application/grpc"))
}

/// The time that a call gives itself, in milliseconds.
pub fn time_left_ms(headers: &HeaderMap) -> Option<u32> {
    let text = headers.get(TIMEOUT)?.to_str().ok()?;
    let (amount, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let amount: u64 = amount.parse().ok()?;
    let ms = match unit {
        "H" => amount.saturating_mul(3_600_000),
        "M" => amount.saturating_mul(60_000),
        "S" => amount.saturating_mul(1000),
        "m" => amount,
        "u" => amount / 1000,
        "n" => amount / 1_000_000,
        _ => return None,
    };
    Some(u32::try_from(ms).unwrap_or(u32::MAX))
}

/// Takes the one message of a unary call out of its frame.
pub fn unframe(mut body: Bytes) -> Result<Bytes, BadRequest> {
    if body.len() < PREFIX {
        return Err(BadRequest::Frame);
    }
    let message = body.split_off(PREFIX);
    let length = u32::from_be_bytes([body[1], body[2], body[3], body[4]]);
    // Compressed messages would have to be opened, and there is one message in a unary call.
    match body[0] == 0 && u32::try_from(message.len()) == Ok(length) {
        true => Ok(message),
        false => Err(BadRequest::Frame),
    }
}

/// Words a final answer.
pub fn respond(answer: Answer<Bytes>) -> Response<ResponseBody> {
    match answer {
        Answer::Served(result) => {
            let mut framed = BytesMut::with_capacity(PREFIX + result.len());
            framed.put_u8(0);
            framed.put_u32(u32::try_from(result.len()).unwrap_or(u32::MAX));
            framed.put(result);
            let mut trailers = HeaderMap::new();
            trailers.insert(STATUS, OK.into());
            let body = Full::new(framed.freeze()).with_trailers(std::future::ready(Some(Ok(trailers))));
            typed(Response::new(body.boxed()))
        }
        Answer::Refused { retry_after } => {
            let mut response = status(UNAVAILABLE, "unavailable");
            if let Some(span) = retry_after {
                response.headers_mut().insert(PUSHBACK, (span.ms().ceil().max(0.0) as u64).into());
            }
            response
        }
        // Nobody knows whether it ran, so nothing here may call a new try harmless.
        Answer::Failed => status(UNKNOWN, "failed"),
    }
}

/// Turns a call down.
pub fn turn_down(bad: &BadRequest) -> Response<ResponseBody> {
    status(INVALID_ARGUMENT, &bad.to_string())
}

/// An answer without a message has its status in the headers.
fn status(code: u16, message: &str) -> Response<ResponseBody> {
    let mut response = typed(Response::new(Full::default().boxed()));
    response.headers_mut().insert(STATUS, code.into());
    if let Ok(message) = HeaderValue::from_str(message) {
        response.headers_mut().insert(MESSAGE, message);
    }
    response
}

fn typed(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/grpc"));
    response
}
