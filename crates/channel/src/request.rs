//! Validates the head of a request before it is accepted. A request that log workers could not use must not
//! reach them or the dispatcher.

use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use thiserror::Error;

use super::{grpc, headers, MAX_BODY};
use rookspoke_decisions::{ClassId, Name, Span, TenantId};
use rookspoke_wire::Vocabulary;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum length of a request id, in bytes.
const MAX_ID: usize = 128;
/// Longest time a client may wait; far beyond the time limit of any class.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Most slots, or memory units, of any log worker.
const MAX_SLOTS: f64 = 64.0;

/// Why a request is rejected before it reaches the dispatcher.
#[derive(Debug, Error)]
pub enum BadRequest {
    #[error("only POST hands in a job")]
    MethodNotAllowed,
    #[error("{0} is missing or makes no sense")]
    Header(&'static str),
    #[error("path and {} name different classes", headers::CLASS)]
    ClassMismatch,
    #[error("a request of this id is still open")]
    DuplicateId,
    #[error("a request of this id may have run, and must not run again")]
    MayHaveRun,
    #[error("the body is longer than {MAX_BODY} bytes")]
    BodyTooLong,
    #[error("the body did not come in time")]
    BodyTimeout,
    #[error("the body broke off")]
    BodyInterrupted,
    #[error("the body is not one uncompressed message")]
    InvalidFrame,
    #[error("found no memory for the request; it may be sent again")]
    OutOfMemory(ClassId),
}

impl BadRequest {
    pub fn status(&self) -> StatusCode {
        match self {
            BadRequest::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            BadRequest::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            BadRequest::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            BadRequest::DuplicateId | BadRequest::MayHaveRun => StatusCode::CONFLICT,
            BadRequest::OutOfMemory(_) => StatusCode::SERVICE_UNAVAILABLE,
            BadRequest::Header(_)
            | BadRequest::ClassMismatch
            | BadRequest::BodyInterrupted
            | BadRequest::InvalidFrame => StatusCode::BAD_REQUEST,
        }
    }
}

impl BadRequest {
    /// Whether the body was not read to its end, so that the start of the connection's next request is unknown.
    pub fn leaves_body_unread(&self) -> bool {
        matches!(self, BadRequest::BodyTooLong | BadRequest::BodyTimeout | BadRequest::OutOfMemory(_))
    }
}

/// The validated head of a request.
#[derive(Debug)]
pub struct RequestHead {
    pub class: ClassId,
    pub key: Option<Name>,
    pub id: HeaderValue,
    pub time_left: Span,
    /// `None`, too, for an account that the settings don't name, since its share is unknown.
    pub tenant: Option<TenantId>,
    /// The client's estimate of the work.
    pub work: Option<Span>,
    pub facts: Facts,
    /// Path and query only: a log worker is not a proxy and expects no absolute URI.
    pub uri: Uri,
}

impl RequestHead {
    pub fn read(parts: &Parts, vocabulary: &Vocabulary) -> Result<Self, BadRequest> {
        if parts.method != Method::POST {
            return Err(BadRequest::MethodNotAllowed);
        }
        let is_call = grpc::is_call(&parts.headers);
        let mut path = parts.uri.path().split('/').filter(|part| !part.is_empty());
        let first = path.next().ok_or(BadRequest::Header(headers::CLASS))?;
        match single_value(&parts.headers, headers::CLASS)? {
            Some(class) if class != first => return Err(BadRequest::ClassMismatch),
            // RPC clients don't send this header.
            None if !is_call => return Err(BadRequest::Header(headers::CLASS)),
            _ => {}
        }
        let class = vocabulary.classes.iter().position(|name| name.as_ref() == first);
        let class = ClassId(class.ok_or(BadRequest::Header(headers::CLASS))?);
        let id = single_value(&parts.headers, headers::ID)?.filter(|id| {
            id.len() <= MAX_ID && id.bytes().all(|b| b.is_ascii_graphic() && !b",;\"\\".contains(&b))
        });
        let id = id.ok_or(BadRequest::Header(headers::ID))?;
        let ms = match single_value(&parts.headers, headers::TIME_LEFT)? {
            Some(text) => text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok()).flatten(),
            None => grpc::time_left_ms(&parts.headers).map(|ms| u64::from(ms).min(MAX_TIMEOUT_MS)),
        };
        let ms = ms.filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms));
        let ms = ms.ok_or(BadRequest::Header(headers::TIME_LEFT))?;
        let account = single_value(&parts.headers, headers::ACCOUNT)?;
        let tenant =
            account.and_then(|name| vocabulary.tenants.iter().position(|tenant| tenant.as_ref() == name));
        let facts =
            single_value(&parts.headers, headers::FACTS)?.map_or(Ok(Facts::default()), Facts::read)?;
        let uri = parts.uri.path_and_query().cloned().map(Uri::from);
        Ok(RequestHead {
            class,
            key: path.next_back().map(Name::from),
            id: HeaderValue::from_str(id).map_err(|_| BadRequest::Header(headers::ID))?,
            time_left: Span::from_ms(ms as f64),
            tenant: tenant.map(TenantId),
            work: work_hint(&parts.headers),
            facts,
            uri: uri.ok_or(BadRequest::Header(headers::CLASS))?,
        })
    }
}

/// A hash of the idempotency key, which all retries of a keyed request have in common, whether or not they
/// are marked as retries.
pub fn idempotency_hash(headers: &HeaderMap, class: ClassId) -> Result<Option<u64>, BadRequest> {
    let key = single_value(headers, super::headers::KEY)?;
    Ok(key.map(|key| xxh3_64_with_seed(key.as_bytes(), class.0 as u64)))
}

/// The client's estimate of the work. An invalid estimate is ignored, since it is no reason to reject the
/// request.
fn work_hint(headers: &HeaderMap) -> Option<Span> {
    let text = single_value(headers, super::headers::WEIGHT_HINT).ok()??;
    let us = text.parse().ok().filter(|us: &f64| us.is_finite() && *us >= 1.0)?;
    Some(Span::from_ms(us.min(MAX_TIMEOUT_MS as f64 * 1e3) / 1e3))
}

/// The value of a header, if present. A header that is repeated or empty is invalid.
fn single_value<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, BadRequest> {
    let mut values = headers.get_all(name).iter();
    let (first, second) = (values.next(), values.next());
    let text = |value: &'a HeaderValue| {
        let text = value.to_str().ok().map(str::trim).filter(|text| !text.is_empty());
        text.filter(|_| second.is_none()).ok_or(BadRequest::Header(name))
    };
    first.map(text).transpose()
}

/// The resource needs given in `X-Facts`.
#[derive(Debug, PartialEq)]
pub struct Facts {
    pub slots: f64,
    pub memory: f64,
}

impl Default for Facts {
    fn default() -> Self {
        Facts { slots: 1.0, memory: 0.0 }
    }
}

impl Facts {
    fn read(text: &str) -> Result<Self, BadRequest> {
        let invalid = || BadRequest::Header(headers::FACTS);
        let (mut slots, mut memory) = (None, None);
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=').ok_or_else(invalid)?;
            let fact = match name.trim() {
                "slots" | "cores_needed" => &mut slots,
                "memory" | "ram_units" => &mut memory,
                _ => continue,
            };
            let value = value.trim().parse().ok().filter(|value| (0.0..=MAX_SLOTS).contains(value));
            if fact.replace(value.ok_or_else(invalid)?).is_some() {
                return Err(invalid());
            }
        }
        let default = Facts::default();
        Ok(Facts { slots: slots.unwrap_or(default.slots), memory: memory.unwrap_or(default.memory) })
    }
}
