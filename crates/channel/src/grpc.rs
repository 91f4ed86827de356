//! Translates unary gRPC calls: one message in a frame, a timeout header and a status in the trailers. Log
//! workers don't speak gRPC; they receive the bare message and return the bare result.

use bytes::{BufMut, Bytes, BytesMut};
use http::{header, HeaderMap, HeaderName, HeaderValue, Response};
use http_body_util::{BodyExt, Full};

use super::{BadRequest, ResponseBody};
use rookspoke_dispatch::Answer;

/// Length of a frame's compression flag and message length, in bytes.
const FRAME_PREFIX_LEN: usize = 5;
const TIMEOUT: HeaderName = HeaderName::from_static("grpc-timeout");
const STATUS: HeaderName = HeaderName::from_static("grpc-status");
const MESSAGE: HeaderName = HeaderName::from_static("grpc-message");
/// Tells a client when to retry.
const RETRY_PUSHBACK: HeaderName = HeaderName::from_static("grpc-retry-pushback-ms");
const OK: u16 = 0;
const UNKNOWN: u16 = 2;
const INVALID_ARGUMENT: u16 = 3;
const UNAVAILABLE: u16 = 14;

/// Whether a request comes from an RPC client.
pub fn is_call(headers: &HeaderMap) -> bool {
    headers.get(header::CONTENT_TYPE).is_some_and(|v| v.as_bytes().starts_with(b"application/grpc"))
}

/// The timeout of a call, in milliseconds.
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

/// Extracts the message of a unary call from its frame.
pub fn unframe(mut body: Bytes) -> Result<Bytes, BadRequest> {
    if body.len() < FRAME_PREFIX_LEN {
        return Err(BadRequest::InvalidFrame);
    }
    let message = body.split_off(FRAME_PREFIX_LEN);
    let length = u32::from_be_bytes([body[1], body[2], body[3], body[4]]);
    // Compressed messages are not supported, and a unary call has exactly one message.
    match body[0] == 0 && u32::try_from(message.len()) == Ok(length) {
        true => Ok(message),
        false => Err(BadRequest::InvalidFrame),
    }
}

/// Builds the response for a final answer.
pub fn respond(answer: Answer<Bytes>) -> Response<ResponseBody> {
    match answer {
        Answer::Served(result) => {
            let mut framed = BytesMut::with_capacity(FRAME_PREFIX_LEN + result.len());
            framed.put_u8(0);
            framed.put_u32(u32::try_from(result.len()).unwrap_or(u32::MAX));
            framed.put(result);
            let mut trailers = HeaderMap::new();
            trailers.insert(STATUS, OK.into());
            let body = Full::new(framed.freeze()).with_trailers(std::future::ready(Some(Ok(trailers))));
            with_content_type(Response::new(body.boxed()))
        }
        Answer::Refused { retry_after } => {
            let mut response = status(UNAVAILABLE, "unavailable");
            if let Some(span) = retry_after {
                response.headers_mut().insert(RETRY_PUSHBACK, (span.ms().ceil().max(0.0) as u64).into());
            }
            response
        }
        // The request may have run, so the status must not suggest that a retry is safe.
        Answer::Failed => status(UNKNOWN, "failed"),
    }
}

/// Builds the response to an invalid call.
pub fn reject(error: &BadRequest) -> Response<ResponseBody> {
    status(INVALID_ARGUMENT, &error.to_string())
}

/// A response without a message carries its status in the headers.
fn status(code: u16, message: &str) -> Response<ResponseBody> {
    let mut response = with_content_type(Response::new(Full::default().boxed()));
    response.headers_mut().insert(STATUS, code.into());
    if let Ok(message) = HeaderValue::from_str(message) {
        response.headers_mut().insert(MESSAGE, message);
    }
    response
}

fn with_content_type(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/grpc"));
    response
}
