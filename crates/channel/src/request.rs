//! Judges a request by its head, before anything of it is taken: what log workers could not use must not
//! reach them, nor the decisions.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use thiserror::Error;

use super::{grpc, headers, MAX_BODY};
use rookspoke_decisions::{ClassId, Name, Span, TenantId};
use rookspoke_wire::Vocabulary;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The longest id.
const MAX_ID: usize = 128;
/// The longest that a client may wait; far beyond any class's own time.
const MAX_TIME_MS: u64 = 3_600_000;
/// The most slots, or memory units, that any log worker has.
const MAX_SLOTS: f64 = 64.0;

/// What is wrong with a request, before anything of it was taken.
#[derive(Debug, Error)]
pub enum BadRequest {
    #[error("only POST hands in a job")]
    Method,
    #[error("{0} is missing or makes no sense")]
    Header(&'static str),
    #[error("path and {} name different classes", headers::CLASS)]
    Class,
    #[error("a request of this id is still open")]
    Open,
    #[error("the body is longer than {MAX_BODY} bytes")]
    TooLong,
    #[error("the body did not come in time")]
    TooSlow,
    #[error("the body broke off")]
    Broken,
    #[error("the body is not one uncompressed message")]
    Frame,
}

impl BadRequest {
    pub fn status(&self) -> StatusCode {
        match self {
            BadRequest::Method => StatusCode::METHOD_NOT_ALLOWED,
            BadRequest::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            BadRequest::TooSlow => StatusCode::REQUEST_TIMEOUT,
            BadRequest::Open => StatusCode::CONFLICT,
            BadRequest::Header(_) | BadRequest::Class | BadRequest::Broken | BadRequest::Frame => {
                StatusCode::BAD_REQUEST
            }
        }
    }
}

/// What a head says that makes sense.
#[derive(Debug)]
pub struct Head {
    pub class: ClassId,
    pub key: Option<Name>,
    pub id: HeaderValue,
    pub time_left: Span,
    /// None, too, of an account that the settings do not name: nothing is known of its share.
    pub tenant: Option<TenantId>,
    /// Its work, as its client guesses.
    pub work: Option<Span>,
    pub facts: Facts,
    /// The path and what follows it: a log worker is no proxy.
    pub uri: Uri,
}

impl Head {
    pub fn read(parts: &Parts, words: &Vocabulary) -> Result<Self, BadRequest> {
        if parts.method != Method::POST {
            return Err(BadRequest::Method);
        }
        let is_call = grpc::is_call(&parts.headers);
        let mut path = parts.uri.path().split('/').filter(|part| !part.is_empty());
        let first = path.next().ok_or(BadRequest::Header(headers::CLASS))?;
        match single(&parts.headers, headers::CLASS)? {
            Some(class) if class != first => return Err(BadRequest::Class),
            // RPC clients know of no such header.
            None if !is_call => return Err(BadRequest::Header(headers::CLASS)),
            _ => {}
        }
        let class = words.classes.iter().position(|c| c.as_ref() == first);
        let class = ClassId(class.ok_or(BadRequest::Header(headers::CLASS))?);
        let id = single(&parts.headers, headers::ID)?.filter(|id| {
            id.len() <= MAX_ID && id.bytes().all(|b| b.is_ascii_graphic() && !b",;\"\\".contains(&b))
        });
        let id = id.ok_or(BadRequest::Header(headers::ID))?;
        let ms = match single(&parts.headers, headers::TIME_LEFT)? {
            Some(text) => text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten(),
            None => grpc::time_left_ms(&parts.headers).map(|ms| u64::from(ms).min(MAX_TIME_MS)),
        };
        let ms = ms.filter(|ms| (1..=MAX_TIME_MS).contains(ms));
        let ms = ms.ok_or(BadRequest::Header(headers::TIME_LEFT))?;
        let account = single(&parts.headers, headers::ACCOUNT)?;
        let tenant = account.and_then(|name| words.tenants.iter().position(|t| t.as_ref() == name));
        let facts = single(&parts.headers, headers::FACTS)?.map_or(Ok(Facts::default()), Facts::read)?;
        let uri = parts.uri.path_and_query().cloned().map(Uri::from);
        Ok(Head {
            class,
            key: path.next_back().map(Name::from),
            id: HeaderValue::from_str(id).map_err(|_| BadRequest::Header(headers::ID))?,
            time_left: Span::from_ms(ms as f64),
            tenant: tenant.map(TenantId),
            work: hint(&parts.headers),
            facts,
            uri: uri.ok_or(BadRequest::Header(headers::CLASS))?,
        })
    }
}

/// What a keyed request has in common with its client's other tries, a marked one or not.
pub fn tag(from: &HeaderMap, class: ClassId) -> Result<Option<u64>, BadRequest> {
    let key = single(from, headers::KEY)?;
    Ok(key.map(|key| xxh3_64_with_seed(key.as_bytes(), class.0 as u64)))
}

/// The work that a client guesses: nonsense is no guess, and no reason to turn the request down.
fn hint(from: &HeaderMap) -> Option<Span> {
    let text = single(from, headers::WEIGHT_HINT).ok()??;
    let us = text.parse().ok().filter(|us: &f64| us.is_finite() && *us >= 1.0)?;
    Some(Span::from_ms(us.min(MAX_TIME_MS as f64 * 1e3) / 1e3))
}

/// A header's value, if it has one; given twice it makes no sense, and neither does an empty one.
fn single<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, BadRequest> {
    let mut values = headers.get_all(name).iter();
    let (first, second) = (values.next(), values.next());
    let text = |value: &'a HeaderValue| {
        let text = value.to_str().ok().map(str::trim).filter(|text| !text.is_empty());
        text.filter(|_| second.is_none()).ok_or(BadRequest::Header(name))
    };
    first.map(text).transpose()
}

/// What `X-Facts` tells.
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
        let bad = || BadRequest::Header(headers::FACTS);
        let (mut slots, mut memory) = (None, None);
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=').ok_or_else(bad)?;
            let fact = match name.trim() {
                "slots" | "cores_needed" => &mut slots,
                "memory" | "ram_units" => &mut memory,
                _ => continue,
            };
            let value = value.trim().parse().ok().filter(|v| (0.0..=MAX_SLOTS).contains(v));
            if fact.replace(value.ok_or_else(bad)?).is_some() {
                return Err(bad());
            }
        }
        let default = Facts::default();
        Ok(Facts { slots: slots.unwrap_or(default.slots), memory: memory.unwrap_or(default.memory) })
    }
}

/// The ids of requests that are owed an answer.
#[derive(Clone, Default)]
pub struct OpenIds(Arc<Mutex<HashSet<HeaderValue>>>);

/// An id that is open until this is dropped.
pub struct OpenId(OpenIds, HeaderValue);

impl OpenIds {
    /// Opens an id, unless it is open: two requests of one name could not be told apart at a log worker.
    pub fn open(&self, id: &HeaderValue) -> Result<OpenId, BadRequest> {
        match self.lock().insert(id.clone()) {
            true => Ok(OpenId(self.clone(), id.clone())),
            false => Err(BadRequest::Open),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashSet<HeaderValue>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.0.lock().remove(&self.1);
    }
}
