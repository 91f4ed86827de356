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

use super::list_stream::{Item, ListStream, Receiving, StreamError, SILENCE};
use super::stream::Stream;
use rookspoke_config::{ListSource, ListUpdate};
use rookspoke_decisions::ListScope;

const PATH: &str = "/registry/instances";
/// An answer that takes longer counts as failed; discovery itself gives up on a call after 2 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(2200);
/// The same of an agent to which lists are pushed: its news counts at once, so no call is waited for long,
const AGENT_TIMEOUT: Duration = Duration::from_millis(300);
/// but for every eighth, lest one that is always slower be never heard.
const AGENT_PATIENCE: (u32, Duration) = (8, Duration::from_secs(1));
/// A resolver result: what a call or a watch brought.
#[derive(Clone, Debug)]
pub enum ResolverResult {
    /// A watch is open, whose last word came then; or none is.
    Word(Option<Instant>),
    /// News of the list.
    Update(ListScope, Arc<ListUpdate>),
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
    #[error("{0}")]
    Stream(#[from] StreamError),
    #[error("unreadable: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("the watch ended")]
    Ended,
}

impl CallError {
    fn failure(&self) -> Failure {
        match self {
            CallError::Stream(StreamError::Split(_)) | CallError::Unreadable(_) => Failure::Unusable,
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
    /// Of the answer that is being read.
    receiving: Receiving,
}

impl Resolver {
    /// A resolver that holds the list of version `rev`, if any; `pushed` where an agent nearby is told unasked.
    pub fn new(source: ListSource, rev: Option<u64>, pushed: bool) -> Self {
        Resolver { source, rev, pushed, failed: 0, receiving: Receiving::default() }
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
            let watches = matches!(now, Order::Watch | Order::Move(_));
            if let Order::Move(source) = now {
                tracing::info!("the list comes from {} now, and no longer from {}", source, self.source);
                // What another service calls a version proves nothing here.
                (self.source, self.rev) = (source, None);
                tell(ResolverResult::Moved).await;
            }
            let done = self.call_until_ordered(watches, &mut orders, &tell).await;
            tell(ResolverResult::Word(None)).await;
            order = match done {
                Ok(done) => {
                    if let Err(error) = done {
                        tell(self.failed(error)).await;
                    }
                    orders.recv().await
                }
                Err(next @ Order::Move(_)) => Some(next),
                // Asked again, the watch starts over from the version held; where the whole list is wanted,
                // from none.
                Err(next) => {
                    self.rev = self.rev.filter(|_| matches!(next, Order::Watch));
                    Some(if watches { Order::Watch } else { next })
                }
            };
        }
    }

    /// Watches, or reads the whole list once, until that ends or an order comes that it stands in the way of. An order
    /// drops what is under way, and with it the connection; but a list that is coming in is what a further order to
    /// watch asks for.
    async fn call_until_ordered<F, Fut>(
        &mut self,
        watches: bool,
        orders: &mut mpsc::Receiver<Order>,
        tell: &F,
    ) -> Result<Result<(), CallError>, Order>
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let receiving = self.receiving.clone();
        let source = self.source.clone();
        let call = async {
            match source {
                ListSource::Fixed(list) => {
                    tell(ResolverResult::Update(ListScope::Complete, list)).await;
                    Ok(())
                }
                ListSource::Discovery(address) if watches => self.watch(address, tell).await,
                ListSource::Discovery(address) => self.fetch(address, tell).await,
            }
        };
        tokio::pin!(call);
        loop {
            tokio::select! {
                done = &mut call => return Ok(done),
                Some(next) = orders.recv() => match next {
                    Order::Watch if watches && receiving.get() => {}
                    next => return Err(next),
                },
            }
        }
    }

    /// Notes and logs that a call failed.
    fn failed(&mut self, error: CallError) -> ResolverResult {
        self.failed = self.failed.saturating_add(1);
        let (version, failed) = (self.rev, self.failed);
        if error.failure() == Failure::Unusable {
            // Asked for the same changes again, it may say the same again.
            self.rev = None;
            tracing::error!(?version, failed, "discovery: its answer cannot be used: {error}");
        } else {
            tracing::info!(?version, failed, "discovery: {error}");
        }
        match error {
            CallError::Silent(since) => ResolverResult::Silent(since),
            error => ResolverResult::Failed(error.failure()),
        }
    }

    async fn fetch<F, Fut>(&mut self, address: SocketAddr, tell: &F) -> Result<(), CallError>
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let (_connection, mut stream) = timeout(self.patience(), self.call(address, PATH)).await??;
        let item = stream.next().await?;
        let Some(Item::Object(object)) = item else { return Err(CallError::Ended) };
        self.take(&object, tell).await
    }

    async fn watch<F, Fut>(&mut self, address: SocketAddr, tell: &F) -> Result<(), CallError>
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let path = format!("{PATH}?watch=1&after={}", self.rev.unwrap_or(0));
        let (_connection, mut stream) = timeout(self.patience(), self.call(address, &path)).await??;
        let mut heard = None;
        loop {
            let item = match (stream.next().await, heard) {
                (Ok(Some(item)), _) => item,
                (Err(error @ StreamError::Split(_)), _) => return Err(error.into()),
                // A head alone is no word of the list: the call failed.
                (Err(StreamError::Silent), Some(since)) => return Err(CallError::Silent(since)),
                // It may have broken long before this process came to see it.
                (_, Some(since)) if since.elapsed() > SILENCE => return Err(CallError::Silent(since)),
                (item, _) => item?.ok_or(CallError::Ended)?,
            };
            let now = Instant::now();
            let first = heard.replace(now).is_none();
            tell(ResolverResult::Word(Some(now))).await;
            if first {
                tracing::info!("discovery: a watch is open");
            }
            match (item, self.rev) {
                (Item::Object(object), _) => self.take(&object, tell).await?,
                // Nothing has changed since the version held: that is news of a list that had been in doubt.
                (Item::Heartbeat, Some(rev)) if first => {
                    self.pass_on(ListUpdate::new(rev, false, Vec::new()), tell).await;
                }
                (Item::Heartbeat, _) => {}
            }
        }
    }

    async fn call(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<(ConnectionTask, ListStream<Incoming>), CallError> {
        let stream = Stream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = ConnectionTask(tokio::spawn(async move {
            let _ = connection.await;
        }));
        let request = Request::get(path).header(http::header::HOST, address.to_string());
        let request = request.body(Empty::<Bytes>::new()).expect("a path and an address make a request");
        let response = sender.send_request(request).await?;
        match response.status().as_u16() {
            200 => Ok((task, ListStream::new(response.into_body(), self.receiving.clone()))),
            status => Err(CallError::Status(status)),
        }
    }

    /// Reads an object and passes it on.
    async fn take<F, Fut>(&mut self, object: &[u8], tell: &F) -> Result<(), CallError>
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let begun = Instant::now();
        let update = ListUpdate::read(object)?;
        let (version, entries, unreadable) = (update.rev, update.targets.len(), update.unreadable.len());
        let complete = update.complete;
        self.pass_on(update, tell).await;
        let (bytes, took_us) = (object.len(), begun.elapsed().as_micros() as u64);
        tracing::info!(version, entries, unreadable, complete, bytes, took_us, "discovery: a list is taken");
        Ok(())
    }

    async fn pass_on<F, Fut>(&mut self, update: ListUpdate, tell: &F)
    where
        F: Fn(ResolverResult) -> Fut,
        Fut: Future<Output = ()>,
    {
        let scope = if update.complete { ListScope::Complete } else { ListScope::Changes };
        let rev = update.rev;
        tell(ResolverResult::Update(scope, Arc::new(update))).await;
        // Not before: what an order cuts off here is told again.
        (self.rev, self.failed) = (Some(rev), 0);
    }
}

/// Ends a connection's task, and with it the connection.
pub(super) struct ConnectionTask(pub tokio::task::JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}
