//! Discovery: asks for the list of log workers and follows its changes.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::lines::{LineError, Lines};
use super::stream::Stream;
use rookspoke_config::{ListSource, Update};
use rookspoke_decisions::ListScope;

const PATH: &str = "/registry/instances";
/// An answer that takes longer counts as failed; discovery itself gives up on a call after 2 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(2200);
/// The same of an agent to which lists are pushed: its news counts at once, so no call is waited for long,
const AGENT_TIMEOUT: Duration = Duration::from_millis(300);
/// but for every eighth, lest one that is always slower be never heard.
const AGENT_PATIENCE: (u32, Duration) = (8, Duration::from_secs(1));
/// A watch brings at least an empty line every 2 s; one silent for longer is dead, whatever TCP says. What it missed
/// counts 6 s after its last word, and a new one takes up to 2 s of them.
const SILENCE: Duration = Duration::from_millis(2500);
/// The most that one object holds over all its lines, in bytes.
const MAX_OBJECT: usize = 1024 * 1024;
/// What had come before a watch's time was up is read within this.
const UNREAD: Duration = Duration::from_millis(50);

/// A resolver result: what a call or a watch brought.
#[derive(Clone, Debug)]
pub enum ResolverResult {
    /// A watch is open, whose last word came then; or none is.
    Word(Option<Instant>),
    /// News of the list.
    Update(ListScope, Arc<Update>),
    /// The call failed or the watch broke.
    Failed(Failure),
    /// The watch was given up; its last word came then.
    Silent(Instant),
    /// What comes from now on comes from elsewhere.
    Moved,
}

/// What a failed call says of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It could not be reached, refused, or broke off: asked again, it may answer.
    Unavailable,
    /// It answered, and the answer cannot be taken: asked again, it may well say the same.
    Unusable,
}

/// Why a call to discovery failed.
#[derive(Debug, Error)]
enum CallError {
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("status {0}")]
    Status(u16),
    #[error("no answer in time")]
    NoAnswer(#[from] tokio::time::error::Elapsed),
    #[error("the watch was silent for {:?}", .0.elapsed())]
    Silent(Instant),
    #[error("an object of more than {MAX_OBJECT} bytes")]
    TooLong,
    #[error("{0}")]
    Line(#[from] LineError),
    #[error("unreadable: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("the watch ended")]
    Ended,
}

impl CallError {
    fn failure(&self) -> Failure {
        match self {
            CallError::TooLong | CallError::Line(LineError::TooLong) | CallError::Unreadable(_) => {
                Failure::Unusable
            }
            _ => Failure::Unavailable,
        }
    }
}

/// What a resolver is asked to do.
#[derive(Clone, Debug)]
pub enum Order {
    /// Follow the list; a watch that is on starts over.
    Watch,
    /// Read the whole list once.
    Fetch,
    /// The list comes from elsewhere now: leave the old address, and follow it from there.
    Move(ListSource),
}

/// Follows one source of the list at a time.
pub struct Resolver {
    source: ListSource,
    /// The version held, from which a new watch goes on.
    rev: Option<u64>,
    /// Lists are pushed to an agent nearby, which is asked here.
    pushed: bool,
    /// Calls that failed since the last that did not.
    failed: u32,
}

impl Resolver {
    /// A resolver that holds the list of version `rev`, if any; `pushed` where an agent nearby is told unasked.
    pub fn new(source: ListSource, rev: Option<u64>, pushed: bool) -> Self {
        Resolver { source, rev, pushed, failed: 0 }
    }

    /// How long the next call may take.
    fn patience(&self) -> Duration {
        let (every, long) = AGENT_PATIENCE;
        match self.pushed {
            true if self.failed % every == every - 1 => long,
            true => AGENT_TIMEOUT,
            false => CALL_TIMEOUT,
        }
    }

    /// Carries out orders until their sender is gone; each result goes to `tell`, in order.
    pub async fn run<F, Fut>(mut self, mut orders: mpsc::Receiver<Order>, tell: F)
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let mut order = orders.recv().await;
        while let Some(now) = order.take() {
            let watched = matches!(now, Order::Watch | Order::Move(_));
            if let Order::Move(source) = now {
                tracing::info!("the list comes from {} now, and no longer from {}", source, self.source);
                // What another service calls a version proves nothing here.
                (self.source, self.rev) = (source, None);
                tell(ResolverResult::Moved).await;
            }
            let done = async {
                match (self.source.clone(), watched) {
                    (ListSource::Fixed(list), _) => {
                        tell(ResolverResult::Update(ListScope::Complete, list)).await;
                        Ok(())
                    }
                    (ListSource::Discovery(address), true) => self.watch(address, &tell).await,
                    (ListSource::Discovery(address), false) => self.fetch(address, &tell).await,
                }
            };
            // A new order drops what is under way, and with it the connection.
            let done = tokio::select! {
                done = done => Ok(done),
                Some(next) = orders.recv() => Err(next),
            };
            tell(ResolverResult::Word(None)).await;
            match done {
                Err(next @ Order::Move(_)) => order = Some(next),
                // Asked again, the watch starts over from the version held; where the whole list is wanted,
                // from none.
                Err(next) => {
                    self.rev = self.rev.filter(|_| matches!(next, Order::Watch));
                    order = Some(if watched { Order::Watch } else { next });
                }
                Ok(done) => {
                    if let Err(error) = done {
                        self.failed = self.failed.saturating_add(1);
                        let (version, failed) = (self.rev, self.failed);
                        match error.failure() {
                            Failure::Unavailable => {
                                tracing::info!(?version, failed, "discovery: {error}");
                            }
                            Failure::Unusable => {
                                tracing::error!(
                                    ?version,
                                    failed,
                                    "discovery: its answer cannot be used: {error}"
                                );
                            }
                        }
                        tell(match error {
                            CallError::Silent(since) => ResolverResult::Silent(since),
                            error => ResolverResult::Failed(error.failure()),
                        })
                        .await;
                    }
                    order = orders.recv().await;
                }
            }
        }
    }

    async fn fetch<F, Fut>(&mut self, address: SocketAddr, tell: &F) -> Result<(), CallError>
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let (_connection, lines) = timeout(self.patience(), call(address, PATH)).await??;
        let all = timeout(CALL_TIMEOUT, lines.all()).await??;
        self.pass_on(serde_json::from_slice(&all)?, tell).await;
        Ok(())
    }

    async fn watch<F, Fut>(&mut self, address: SocketAddr, tell: &F) -> Result<(), CallError>
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let path = format!("{PATH}?watch=1&after={}", self.rev.unwrap_or(0));
        let (_connection, mut lines) = timeout(self.patience(), call(address, &path)).await??;
        let (mut object, mut heard) = (Vec::new(), None);
        loop {
            let line = match timeout(SILENCE, lines.next()).await {
                Ok(line) => line,
                // Stopped for longer than that, this process wakes with its time up and news unread.
                Err(_) => match (timeout(UNREAD, lines.next()).await, heard) {
                    (Ok(line), _) => line,
                    // A head alone is no word of the list: the call failed.
                    (Err(late), None) => return Err(late.into()),
                    (Err(_), Some(since)) => return Err(CallError::Silent(since)),
                },
            };
            let line = match (line, heard) {
                (Ok(Some(line)), _) => line,
                // It may have broken long before this process came to see it.
                (_, Some(since)) if since.elapsed() > SILENCE => return Err(CallError::Silent(since)),
                (line, _) => line?.ok_or(CallError::Ended)?,
            };
            let now = Instant::now();
            let first = heard.replace(now).is_none();
            tell(ResolverResult::Word(Some(now))).await;
            if first {
                tracing::info!("discovery: a watch is open");
            }
            match (add(&mut object, &line)?, self.rev) {
                (Some(update), _) => self.pass_on(update, tell).await,
                // Nothing has changed since the version held: that is news of a list that had been in doubt.
                (None, Some(rev)) if first && object.is_empty() => {
                    self.pass_on(Update { rev, all: false, targets: Vec::new() }, tell).await;
                }
                (None, _) => {}
            }
        }
    }

    async fn pass_on<F, Fut>(&mut self, update: Update, tell: &F)
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let scope = if update.all { ListScope::Complete } else { ListScope::Changes };
        let (rev, entries) = (update.rev, update.targets.len());
        tell(ResolverResult::Update(scope, Arc::new(update))).await;
        // Not before: what an order cuts off here is told again.
        (self.rev, self.failed) = (Some(rev), 0);
        tracing::info!(version = rev, entries, ?scope, "discovery: a list is taken");
    }
}

/// Adds a line to an object, which may be spread over many; gives the object once it is whole.
fn add(object: &mut Vec<u8>, line: &[u8]) -> Result<Option<Update>, CallError> {
    let blank = line.iter().all(u8::is_ascii_whitespace);
    if blank && object.is_empty() {
        return Ok(None);
    }
    object.extend_from_slice(line);
    if object.len() > MAX_OBJECT {
        return Err(CallError::TooLong);
    }
    // An object's last line ends so: the others need not be tried. An empty one is said between objects only.
    let open = object.trim_ascii_start().starts_with(b"{") && !line.trim_ascii_end().ends_with(b"}");
    if open && !blank {
        return Ok(None);
    }
    match serde_json::from_slice(object) {
        Err(error) if error.is_eof() && !blank => Ok(None),
        update => {
            object.clear();
            Ok(Some(update?))
        }
    }
}

/// Ends a connection's task, and with it the connection.
pub(super) struct ConnectionTask(pub tokio::task::JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn call(address: SocketAddr, path: &str) -> Result<(ConnectionTask, Lines<Incoming>), CallError> {
    let stream = Stream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = ConnectionTask(tokio::spawn(async move {
        let _ = connection.await;
    }));
    let request = Request::get(path).header(http::header::HOST, address.to_string());
    let request = request.body(Empty::<Bytes>::new()).expect("a path and an address make a request");
    let response = sender.send_request(request).await?;
    match response.status().as_u16() {
        200 => Ok((task, Lines::new(response.into_body()))),
        status => Err(CallError::Status(status)),
    }
}
